//! Plans the rollout of published weight versions to the engines that report to this entry.

use crate::prelude::*;
use indexmap::IndexSet;
use oleanderlock::load_order::LoadOrder;
use oleanderlock::loaded_version::LoadedVersion;
use oleanderlock::rollout_config::RolloutConfig;
use oleanderlock::weight_planner::WeightPlanner;
use oleanderlock::weight_report::WeightReport;

/// The rollouts that one entry plans, limited to the failure domains assigned to it.
///
/// All its state comes from reports and from the configuration, so another entry can take over at
/// any moment.
#[derive(Clone, Debug)]
pub struct WeightRollouts {
    planner: WeightPlanner,
    /// Failure domains whose engines this entry plans for.
    domains: IndexSet<String>,
}

impl Default for WeightRollouts {
    fn default() -> Self {
        Self {
            planner: WeightPlanner::new(RolloutConfig::default()),
            domains: IndexSet::new(),
        }
    }
}

impl WeightRollouts {
    /// Sets the failure domains whose engines this entry plans for. A change removes all known
    /// engines; their next reports add them again.
    pub fn set_domains(&mut self, domains: IndexSet<String>) {
        if self.domains == domains {
            return;
        }
        log::info!("event=weight-planner domains={}", domains.len());
        self.planner.forget_workers();
        self.domains = domains;
    }

    /// Sets the version that all engines of a model must load, unless `fence` is not greater than
    /// that of the current one.
    pub fn publish(&mut self, model: &str, version: Version, fence: Fence) {
        self.planner.publish(model, version, fence);
    }

    /// Processes the report of the agent at `link`; ignores plain services, which have no weight
    /// version, and agents of other failure domains.
    pub fn on_report(&mut self, now: Millis, link: &str, report: &wire::Report) {
        let is_engine = report.version > 0 || report.version_unknown;
        let is_planned = is_engine && self.domains.contains(&report.domain);
        let Some(model) = report.targets.first().filter(|_| is_planned) else {
            return;
        };
        let loaded = match report.version_unknown {
            true => LoadedVersion::Unknown,
            false => LoadedVersion::Known(Version(report.version)),
        };
        let loading = (report.loading > 0).then_some(Version(report.loading));
        let report = WeightReport { loaded, loading };
        self.planner.on_report(now, model, link, report);
    }

    /// Removes the engine of the agent at `link`, which is lost.
    pub fn on_gone(&mut self, link: &str) {
        self.planner.on_gone(link);
    }

    /// Returns the load orders to send now; `worker` in an order is the link address of an agent.
    pub fn tick(&mut self, now: Millis) -> Vec<LoadOrder> {
        self.planner.tick(now)
    }
}
