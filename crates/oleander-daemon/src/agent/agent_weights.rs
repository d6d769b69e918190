//! What an agent does with weight orders and what its engine says of its version.

use crate::agent::agent_control::AgentControl;
use crate::agent::agent_event::{Probe, SwapReport};
use crate::agent::engine_client::SwapEnd;
use crate::entry::request_log;
use crate::prelude::*;

impl AgentControl {
    pub(crate) fn order_weights(&mut self, entry: String, order: wire::WeightOrder) {
        let fence = Fence(order.fence);
        if fence < self.last_fence {
            self.cx.metrics.record_refusal(ErrorKind::OldFence);
            let end = SwapEnd::OldFence;
            let version = Version(order.version);
            self.send_status(&SwapReport {
                entry,
                model: order.model,
                version,
                end,
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
        self.report_wanted = true;
        self.cx.swap(entry, order);
    }

    pub(crate) fn swapped(&mut self, report: SwapReport) {
        self.loading = None;
        request_log::swapped(report.version, report.end);
        match report.end {
            SwapEnd::Loaded => {
                self.probe = Some(Probe {
                    up: true,
                    version: Some(report.version),
                });
                self.quarantined = false;
            }
            SwapEnd::OldFence => {}
            SwapEnd::Unknown => {
                self.cx.metrics.count_event("swap-failed");
                self.quarantined = true;
            }
        }
        self.report_wanted = true;
        self.send_status(&report);
    }

    pub(crate) fn send_status(&self, report: &SwapReport) {
        let error = match report.end {
            SwapEnd::Loaded => String::new(),
            SwapEnd::OldFence => ErrorKind::OldFence.to_string(),
            SwapEnd::Unknown => ErrorKind::Quarantined.to_string(),
        };
        let status = wire::WeightStatus {
            model: report.model.clone(),
            version: report.version.0,
            unknown: report.end == SwapEnd::Unknown,
            error,
        };
        self.cx.send(&report.entry, Body::WeightStatus(status));
    }

    pub(crate) fn probed(&mut self, probe: Probe) {
        let changed = self.probe != Some(probe);
        self.probe = Some(probe);
        if self.loading.is_none() {
            self.quarantined = self.cx.is_engine() && (!probe.up || probe.version.is_none());
        }
        if changed {
            self.report_wanted = true;
        }
    }
}
