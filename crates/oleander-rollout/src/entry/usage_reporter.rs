//! Counts of the requests of workspaces and of calls to services, sent to the leading dispatcher.

use crate::call::demand::Demand;
use crate::call::usage_mark::UsageMark;
use crate::duty_settings::DutySettings;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{USAGE_COUNTS, UsageReceipt};
use crate::prelude::*;
use http::{Method, StatusCode};
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::duties::true_clock::TrueClock;
use oleanderlock::duties::usage_counts::UsageCounts;
use oleanderlock::duties::usage_report::UsageReport;
use oleanderlock::duties::usage_window::UsageWindow;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Time between two reports to the leader. What was counted since the last one is lost with the
/// process.
const REPORT_EVERY: Millis = Millis(1000);
/// Longest wait for the response to a report.
const REPORT_TIMEOUT: Millis = Millis(900);
/// Longest wait for the response to the last report of a process that stops.
const LAST_REPORT_TIMEOUT: Millis = Millis(400);

/// Counts the requests of workspaces and sends the counts to the leading dispatcher.
#[derive(Debug)]
pub struct UsageReporter {
    node: String,
    process: u64,
    counts: Rc<RefCell<UsageCounts>>,
    leader_client: Rc<LeaderClient>,
    demand: Rc<Demand>,
    reported_demand: RefCell<Vec<ServiceDemand>>,
    metrics: Metrics,
    counts_requests: bool,
    /// Whether the leader has told how far the clock of this process is behind.
    clock_known: Cell<bool>,
    stopped: Cell<bool>,
}

impl UsageReporter {
    /// Starts to count and to report.
    pub fn start(
        node: &str,
        duties: &DutySettings,
        leader_client: Rc<LeaderClient>,
        demand: Rc<Demand>,
        metrics: Metrics,
    ) -> Rc<Self> {
        let window = UsageWindow::new(duties.usage_window);
        let counts = UsageCounts::new(window, TrueClock::new(now(), unix_ms()));
        if duties.scale {
            demand.enable();
        }
        let reporter = Rc::new(Self {
            node: node.to_owned(),
            process: u64::from(rand::random::<u32>()),
            counts: Rc::new(RefCell::new(counts)),
            leader_client,
            demand,
            reported_demand: RefCell::default(),
            metrics,
            counts_requests: duties.usage,
            clock_known: Cell::new(false),
            stopped: Cell::new(false),
        });
        spawn(Rc::clone(&reporter).run());
        reporter
    }

    /// Returns what counts a request of a workspace; `None` if usage is not reported.
    pub fn mark(&self, workspace: &Arc<str>) -> Option<Rc<UsageMark>> {
        let counted = self.counts_requests;
        counted.then(|| UsageMark::new(&self.counts, workspace))
    }

    /// Sends the last counts of a process that stops.
    pub async fn stop(&self) {
        self.stopped.set(true);
        if !self.counts.borrow().has_unwritten() {
            return;
        }
        let mut report = self.report();
        report.complete_through_ms = u64::MAX;
        self.send(&report, LAST_REPORT_TIMEOUT).await;
    }

    async fn run(self: Rc<Self>) {
        while !self.stopped.get() {
            sleep(REPORT_EVERY).await;
            if self.has_news() && !self.stopped.get() {
                self.send(&self.report(), REPORT_TIMEOUT).await;
            }
        }
    }

    /// Whether there is something to report.
    fn has_news(&self) -> bool {
        let in_flight = |one: &ServiceDemand| one.started > one.ended;
        !self.clock_known.get()
            || self.counts.borrow().has_unwritten()
            || *self.reported_demand.borrow() != self.demand.get()
            || self.reported_demand.borrow().iter().any(in_flight)
    }

    fn report(&self) -> UsageReport {
        let counts = self.counts.borrow();
        let mut report = counts.report(now(), &self.node, self.process);
        report.demand = self.demand.get();
        report
    }

    /// Sends a report and takes the leader's response.
    async fn send(&self, report: &UsageReport, limit: Millis) {
        match self.exchange(report, limit).await {
            Ok(receipt) => {
                self.clock_known.set(true);
                self.reported_demand.replace(report.demand.clone());
                let mut counts = self.counts.borrow_mut();
                counts.confirm(receipt.written_through, receipt.offset_ms);
                let losses = counts.take_losses();
                drop(counts);
                self.log_losses(losses);
            }
            Err(error) => {
                self.metrics.count_event("usage_counts_unsent");
                event(log::Level::Info, "usage-counts-unsent", || {
                    let windows = report.windows.len();
                    format!("windows={windows} reason=\"{error}\"")
                });
            }
        }
    }

    async fn exchange(
        &self,
        report: &UsageReport,
        limit: Millis,
    ) -> Result<UsageReceipt, LeaderError> {
        let no_answer = |reason: String| LeaderError::NoAnswer { reason };
        let body = serde_json::to_vec(report).map_err(|error| no_answer(error.to_string()))?;
        let call = self
            .leader_client
            .call(Method::POST, USAGE_COUNTS, body, limit);
        let (status, body) = call.await?;
        if status != StatusCode::OK {
            return Err(no_answer(status.to_string()));
        }
        serde_json::from_slice(&body).map_err(|error| no_answer(error.to_string()))
    }

    fn log_losses(&self, (late, dropped): (u64, u64)) {
        if late > 0 {
            self.metrics.count_event("usage_counted_late");
        }
        if late + dropped > 0 {
            event(log::Level::Warn, "usage-not-counted", || {
                format!("late={late} dropped_windows={dropped}")
            });
        }
    }
}
