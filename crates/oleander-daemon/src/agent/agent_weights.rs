//! Weight orders of an agent, and the version that its engine reports.

use crate::agent::agent_control::AgentControl;
use crate::agent::probe_result::ProbeResult;
use crate::agent::swap_outcome::SwapOutcome;
use crate::agent::swap_report::SwapReport;
use crate::entry::request_log;
use crate::prelude::*;

impl AgentControl {
    /// Starts to load the ordered version, unless the order is outdated, already done, or another load
    /// is under way.
    pub(crate) fn on_weight_order(&mut self, entry: String, order: wire::WeightOrder) {
        let fence = Fence(order.fence);
        if fence < self.last_fence {
            self.cx.metrics.record_refusal(ErrorKind::OldFence);
            let outcome = SwapOutcome::OldFence;
            let version = Version(order.version);
            self.send_status(&SwapReport {
                entry,
                model: order.model,
                version,
                outcome,
            });
            return;
        }
        self.last_fence = fence;
        let serving = self.probe.and_then(|probe| probe.version);
        let is_done = serving == Some(Version(order.version)) && !self.quarantined;
        if self.loading.is_some() || is_done {
            return;
        }
        self.loading = Some(Version(order.version));
        self.report_pending = true;
        self.cx.order_load(entry, order);
    }

    pub(crate) fn on_swap_ended(&mut self, report: SwapReport) {
        self.loading = None;
        request_log::swapped(report.version, report.outcome);
        match report.outcome {
            SwapOutcome::Loaded => {
                self.probe = Some(ProbeResult {
                    up: true,
                    version: Some(report.version),
                });
                self.quarantined = false;
            }
            SwapOutcome::OldFence => {}
            SwapOutcome::Unknown => {
                self.cx.metrics.count_event("swap-failed");
                self.quarantined = true;
            }
        }
        self.report_pending = true;
        self.send_status(&report);
    }

    pub(crate) fn send_status(&self, report: &SwapReport) {
        let error = match report.outcome {
            SwapOutcome::Loaded => String::new(),
            SwapOutcome::OldFence => ErrorKind::OldFence.to_string(),
            SwapOutcome::Unknown => ErrorKind::Quarantined.to_string(),
        };
        let status = wire::WeightStatus {
            model: report.model.clone(),
            version: report.version.0,
            unknown: report.outcome == SwapOutcome::Unknown,
            error,
        };
        self.cx.send(&report.entry, Body::WeightStatus(status));
    }

    pub(crate) fn on_probe(&mut self, probe: ProbeResult) {
        let changed = self.probe != Some(probe);
        self.probe = Some(probe);
        if self.loading.is_none() {
            self.quarantined = self.cx.is_engine() && (!probe.up || probe.version.is_none());
        }
        if changed {
            self.report_pending = true;
        }
    }
}
