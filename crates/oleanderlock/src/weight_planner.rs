//! Rolls weight versions out to the workers of each model.
//!
//! A window slides over the workers of a model in a fixed order that follows from their names.
//! Only a share of the workers is out of service at once, and the number of concurrent loads is
//! limited, since they share the read rate of the weight store. All state of the planner can be
//! rebuilt from reports, which contain what each worker serves and loads. Another planner that
//! takes over, or that runs at the same time, selects the same workers in the same order, so it
//! repeats the orders sent since the last reports instead of adding to them. An order carries the
//! generation of the publication as its fencing number, so an order for an older publication is
//! refused.

use crate::affinity_score::{hash_bytes, score};
use crate::load_order::LoadOrder;
use crate::loaded_version::LoadedVersion;
use crate::prelude::*;
use crate::rollout_config::RolloutConfig;
use crate::rollout_progress::RolloutProgress;
use crate::weight_report::WeightReport;
use crate::weight_worker::{OpenOrder, WeightWorker};
use indexmap::IndexMap;

#[derive(Clone, Debug, Default)]
struct ModelPlan {
    target: Version,
    fence: Fence,
    workers: IndexMap<String, WeightWorker>,
}

/// Plans the load orders for the workers of all models.
#[derive(Clone, Debug)]
pub struct WeightPlanner {
    cfg: RolloutConfig,
    models: IndexMap<String, ModelPlan>,
    /// Index of the model that is planned first in the next tick; rotates, so that no model uses
    /// up the loads of the others.
    first_model: usize,
}

impl WeightPlanner {
    /// Creates a planner without models and workers.
    pub fn new(cfg: RolloutConfig) -> Self {
        Self {
            cfg,
            models: IndexMap::new(),
            first_model: 0,
        }
    }

    /// Sets the target version of a model, unless `fence` is not greater than that of the current
    /// target.
    pub fn publish(&mut self, model: &str, version: Version, fence: Fence) {
        let plan = self.models.entry(model.to_owned()).or_default();
        if fence > plan.fence {
            plan.target = version;
            plan.fence = fence;
        }
    }

    /// Processes the report of a worker; adds the worker if it is unknown.
    pub fn on_report(&mut self, now: Millis, model: &str, worker: &str, report: WeightReport) {
        let cfg = self.cfg;
        let plan = self.models.entry(model.to_owned()).or_default();
        let fresh = || WeightWorker::new(report);
        let known = plan.workers.entry(worker.to_owned()).or_insert_with(fresh);
        known.apply_report(now, report, cfg);
    }

    /// Removes a worker that is gone.
    pub fn on_gone(&mut self, worker: &str) {
        for plan in self.models.values_mut() {
            plan.workers.shift_remove(worker);
        }
    }

    /// Removes all workers but keeps the targets; for a planner that becomes responsible for other
    /// workers.
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
            let index = (self.first_model + step) % count;
            let (model, plan) = self
                .models
                .get_index_mut(index)
                .expect("the index is in range");
            let planned = plan.order(now, model, cfg, free);
            free -= planned.len();
            orders.extend(planned);
        }
        self.first_model = (self.first_model + 1) % count.max(1);
        orders
    }

    /// Returns the progress of a model's rollout; all zero for an unknown model.
    pub fn progress(&self, model: &str) -> RolloutProgress {
        self.models
            .get(model)
            .map(ModelPlan::progress)
            .unwrap_or_default()
    }
}

impl WeightWorker {
    /// Applies a report. The open order ends when the worker serves its version or a swap failed;
    /// after a failure the next order waits.
    fn apply_report(&mut self, now: Millis, report: WeightReport, cfg: RolloutConfig) {
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
        if self.serves(order.version) {
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

    fn out_of_service(&self) -> usize {
        let out = |worker: &&WeightWorker| worker.is_out_of_service();
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

    /// Orders the first workers that lack the target to load it; `free` is the number of loads
    /// that the store has left.
    fn order(
        &mut self,
        now: Millis,
        model: &str,
        cfg: RolloutConfig,
        free: usize,
    ) -> Vec<LoadOrder> {
        let allowed = self.workers.len() * cfg.max_out_percent as usize / 100;
        let window = allowed.max(1).saturating_sub(self.out_of_service());
        // Quarantined workers can use up the window. One load may start all the same, as long as
        // another worker still serves.
        let others_serve = self.workers.len() - self.out_of_service() > 1;
        let least = usize::from(self.loading() == 0 && others_serve);
        let mut orders = Vec::new();
        for name in self.candidates(now, model) {
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

    /// Returns the workers that can be ordered to load the target, in the order of the rollout.
    fn candidates(&self, now: Millis, model: &str) -> Vec<String> {
        let target = self.target;
        let can_take = |worker: &WeightWorker| {
            !worker.is_out_of_service() && !worker.serves(target) && worker.retry_at <= now
        };
        let candidates = self.workers.iter().filter(|(_, worker)| can_take(worker));
        let mut names: Vec<String> = candidates.map(|(name, _)| name.clone()).collect();
        let key = hash_bytes(model.as_bytes());
        names.sort_by_cached_key(|name| score(key, hash_bytes(name.as_bytes())));
        names
    }

    fn progress(&self) -> RolloutProgress {
        let count = |is: &dyn Fn(&WeightWorker) -> bool| {
            self.workers.values().filter(|worker| is(worker)).count()
        };
        RolloutProgress {
            done: count(&|worker| worker.serves(self.target)),
            loading: self.loading(),
            quarantined: count(&|worker| worker.loaded == LoadedVersion::Unknown),
            workers: self.workers.len(),
        }
    }
}
