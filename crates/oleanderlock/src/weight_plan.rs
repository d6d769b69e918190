//! Rolls weight versions out to the workers of each model.
//!
//! A window slides over the workers of a model in an order that follows from their names: only
//! a share of them is out of service at once, and only so many loads share the weight store's
//! rate. The planner keeps nothing that it can't learn again from reports, which say what each
//! worker serves and loads. Another planner that takes over, or that runs at the same time, finds
//! the same workers at the head of the same order, so orders sent since the last reports are
//! repeated, not added to. An order carries the generation of the publication as its
//! fencing number, so an order for an older publication is refused.

use crate::affinity_score::{hash_bytes, score};
use crate::prelude::*;
use crate::weight_worker::{LoadedVersion, OpenOrder, WeightReport, WeightWorker};
use indexmap::IndexMap;

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutConfig {
    /// Workers of one model that may be out of service at once, in percent; at least one may.
    pub max_out_percent: u32,
    /// Loads from the weight store at once, over all models.
    pub max_concurrent_loads: usize,
    /// An order that has no effect after this long is sent again.
    pub order_timeout: Millis,
    /// First wait after a failed swap; it doubles each time.
    pub retry_min: Millis,
    /// Longest wait after a failed swap.
    pub retry_max: Millis,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            max_out_percent: 25,
            max_concurrent_loads: 256,
            order_timeout: Millis::from_secs(10),
            retry_min: Millis::from_secs(1),
            retry_max: Millis::from_secs(30),
        }
    }
}

/// Tells one worker to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the worker.
    pub worker: String,
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: Version,
    /// Generation of the publication.
    pub fence: Fence,
}

/// How far a model's newest version has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Workers that serve the newest version.
    pub done: usize,
    /// Workers that load a version, or were ordered to.
    pub loading: usize,
    /// Workers that do not know their version.
    pub quarantined: usize,
    /// All workers.
    pub workers: usize,
}

#[derive(Clone, Debug, Default)]
struct ModelPlan {
    target: Version,
    fence: Fence,
    workers: IndexMap<String, WeightWorker>,
}

/// Plans the orders for all models; holds the workers of the instance list.
#[derive(Clone, Debug)]
pub struct WeightPlanner {
    cfg: RolloutConfig,
    models: IndexMap<String, ModelPlan>,
    /// Model whose turn is first, so that no model starves another of loads.
    turn: usize,
}

impl WeightPlanner {
    /// Returns a planner that knows nothing yet.
    pub fn new(cfg: RolloutConfig) -> Self {
        Self {
            cfg,
            models: IndexMap::new(),
            turn: 0,
        }
    }

    /// Takes a published version; only a greater fencing number replaces the target.
    pub fn publish(&mut self, model: &str, version: Version, fence: Fence) {
        let plan = self.models.entry(model.to_owned()).or_default();
        if fence > plan.fence {
            plan.target = version;
            plan.fence = fence;
        }
    }

    /// Takes the report of a worker.
    pub fn on_report(&mut self, now: Millis, model: &str, worker: &str, report: WeightReport) {
        let cfg = self.cfg;
        let plan = self.models.entry(model.to_owned()).or_default();
        let fresh = || WeightWorker::new(report);
        let known = plan.workers.entry(worker.to_owned()).or_insert_with(fresh);
        known.settle(now, report, cfg);
    }

    /// Takes the loss of a worker.
    pub fn on_gone(&mut self, worker: &str) {
        for plan in self.models.values_mut() {
            plan.workers.shift_remove(worker);
        }
    }

    /// Forgets all workers; the targets stay. For a planner whose part of the fleet has changed.
    pub fn forget_workers(&mut self) {
        for plan in self.models.values_mut() {
            plan.workers.clear();
        }
    }

    /// Returns the orders to send now.
    pub fn tick(&mut self, now: Millis) -> Vec<LoadOrder> {
        let cfg = self.cfg;
        for plan in self.models.values_mut() {
            plan.drop_overdue(now, cfg);
        }
        let open = self.models.values().map(ModelPlan::loading).sum();
        let mut free = cfg.max_concurrent_loads.saturating_sub(open);
        let mut orders = Vec::new();
        let count = self.models.len();
        for step in 0..count {
            let at = (self.turn + step) % count;
            let (model, plan) = self.models.get_index_mut(at).expect("within the table");
            let planned = plan.order(now, model, cfg, free);
            free -= planned.len();
            orders.extend(planned);
        }
        self.turn = (self.turn + 1) % count.max(1);
        orders
    }

    /// Returns how far a model's newest version has come.
    pub fn progress(&self, model: &str) -> RolloutProgress {
        self.models
            .get(model)
            .map(ModelPlan::progress)
            .unwrap_or_default()
    }
}

impl WeightWorker {
    /// Closes the open order when the report answers it.
    fn settle(&mut self, now: Millis, report: WeightReport, cfg: RolloutConfig) {
        let loaded = report.loaded;
        let failed = loaded == LoadedVersion::Unknown && self.loaded != LoadedVersion::Unknown;
        self.loaded = loaded;
        self.loading = report.loading;
        if failed {
            self.failures += 1;
            let wait = cfg.retry_min.0 << self.failures.min(16).saturating_sub(1);
            self.retry_at = now.plus(Millis(wait).min(cfg.retry_max));
            self.order = None;
        }
        let Some(order) = self.order else {
            return;
        };
        if self.has(order.version) {
            self.order = None;
            self.failures = 0;
        }
    }
}

impl ModelPlan {
    fn loading(&self) -> usize {
        let open = |worker: &&WeightWorker| worker.is_loading();
        self.workers.values().filter(open).count()
    }

    fn out(&self) -> usize {
        let out = |worker: &&WeightWorker| worker.is_out();
        self.workers.values().filter(out).count()
    }

    fn drop_overdue(&mut self, now: Millis, cfg: RolloutConfig) {
        for worker in self.workers.values_mut() {
            let overdue = |order: OpenOrder| now.since(order.sent_at) >= cfg.order_timeout;
            if worker.order.is_some_and(overdue) {
                worker.order = None;
            }
        }
    }

    /// Opens orders for the first workers in the model's order that lack the target.
    fn order(
        &mut self,
        now: Millis,
        model: &str,
        cfg: RolloutConfig,
        free: usize,
    ) -> Vec<LoadOrder> {
        let allowed = self.workers.len() * cfg.max_out_percent as usize / 100;
        let window = allowed.max(1).saturating_sub(self.out());
        // Quarantined workers alone must not stop a rollout, unless a single one still serves.
        let others_serve = self.workers.len() - self.out() > 1;
        let least = usize::from(self.loading() == 0 && others_serve);
        let mut orders = Vec::new();
        for name in self.waiting(now, model) {
            if orders.len() >= window.max(least).min(free) {
                break;
            }
            let worker = &mut self.workers[&name];
            worker.order = Some(OpenOrder {
                version: self.target,
                sent_at: now,
            });
            orders.push(LoadOrder {
                worker: name,
                model: model.to_owned(),
                version: self.target,
                fence: self.fence,
            });
        }
        orders
    }

    /// Returns the workers that can take an order, in the order in which they get theirs.
    fn waiting(&self, now: Millis, model: &str) -> Vec<String> {
        let target = self.target;
        let can_take = |worker: &WeightWorker| {
            !worker.is_out() && !worker.has(target) && worker.retry_at <= now
        };
        let waiting = self.workers.iter().filter(|(_, worker)| can_take(worker));
        let mut names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        let key = hash_bytes(model.as_bytes());
        names.sort_by_cached_key(|name| score(key, hash_bytes(name.as_bytes())));
        names
    }

    fn progress(&self) -> RolloutProgress {
        let count = |is: &dyn Fn(&WeightWorker) -> bool| {
            self.workers.values().filter(|worker| is(worker)).count()
        };
        RolloutProgress {
            done: count(&|worker| worker.has(self.target)),
            loading: self.loading(),
            quarantined: count(&|worker| worker.loaded == LoadedVersion::Unknown),
            workers: self.workers.len(),
        }
    }
}
