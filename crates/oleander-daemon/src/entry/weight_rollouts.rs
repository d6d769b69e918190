//! Rolls published weight versions out to the engines whose agents this entry hears.

use crate::prelude::*;
use indexmap::IndexSet;
use oleanderlock::load_order::LoadOrder;
use oleanderlock::loaded_version::LoadedVersion;
use oleanderlock::rollout_config::RolloutConfig;
use oleanderlock::weight_planner::WeightPlanner;
use oleanderlock::weight_report::WeightReport;

/// The planner of one entry, for the agents of the failure domains that it plans for.
///
/// What it knows comes from reports, so another entry can take over at any moment.
#[derive(Clone, Debug)]
pub struct WeightRollouts {
    planner: WeightPlanner,
    /// Failure domains that this entry plans for.
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
    /// Sets the failure domains that this entry plans for.
    pub fn set_domains(&mut self, domains: IndexSet<String>) {
        if self.domains == domains {
            return;
        }
        log::info!("event=weight-planner domains={}", domains.len());
        self.planner.forget_workers();
        self.domains = domains;
    }

    /// Takes a published version.
    pub fn publish(&mut self, model: &str, version: Version, fence: Fence) {
        self.planner.publish(model, version, fence);
    }

    /// Takes the report of the engine behind an agent; plain services have no version.
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

    /// Takes the loss of an agent.
    pub fn on_gone(&mut self, link: &str) {
        self.planner.on_gone(link);
    }

    /// Returns the orders to send now.
    pub fn tick(&mut self, now: Millis) -> Vec<LoadOrder> {
        self.planner.tick(now)
    }
}
