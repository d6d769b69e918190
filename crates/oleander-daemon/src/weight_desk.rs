//! Rolls published weight versions out to the engines whose agents this entry hears.

use crate::prelude::*;
use oleanderlock::weight_plan::{LoadOrder, RolloutConfig, WeightPlanner};
use oleanderlock::weight_worker::{LoadedVersion, WeightReport};

/// The planner of one entry; it orders only while this entry is the one to plan.
///
/// What it knows comes from reports, so another entry can take over at any moment.
#[derive(Clone, Debug)]
pub struct WeightDesk {
    planner: WeightPlanner,
    plans: bool,
}

impl Default for WeightDesk {
    fn default() -> Self {
        Self {
            planner: WeightPlanner::new(RolloutConfig::default()),
            plans: false,
        }
    }
}

impl WeightDesk {
    /// Sets whether this entry plans.
    pub fn set_plans(&mut self, plans: bool) {
        if self.plans != plans {
            log::info!("event=weight-planner active={plans}");
        }
        self.plans = plans;
    }

    /// Takes a published version.
    pub fn publish(&mut self, model: &str, version: Version, fence: Fence) {
        self.planner.publish(model, version, fence);
    }

    /// Takes the report of the engine behind an agent; plain services have no version.
    pub fn on_report(&mut self, now: Millis, link: &str, report: &wire::Report) {
        let is_engine = report.version > 0 || report.version_unknown;
        let Some(model) = report.targets.first().filter(|_| is_engine) else {
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
        if self.plans {
            self.planner.tick(now)
        } else {
            Vec::new()
        }
    }
}
