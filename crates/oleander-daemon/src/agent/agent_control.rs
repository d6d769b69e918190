//! Control state of an agent and its handling of events.

use crate::agent::agent_cx::AgentCx;
use crate::agent::agent_event::AgentEvent;
use crate::agent::agent_summary::AgentSummary;
use crate::agent::probe_result::ProbeResult;
use crate::contracts::config_state::ConfigState;
use crate::entry::attempt::Attempt;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits};

/// Delay of a check from which this process counts as paused.
const PAUSE_THRESHOLD: Millis = Millis(1500);
/// Time between two checks for silent entries.
const ENTRY_CHECK_INTERVAL: Millis = Millis(1000);

/// Time for which a leaving agent still accepts work: work that entries sent before they learned
/// that it leaves, and calls with idempotency keys just issued for it.
const LEAVE_GRACE: Millis = Millis(500);

/// Control state of an agent, owned by its control thread.
pub struct AgentControl {
    pub(crate) cx: AgentCx,
    pub(crate) ledger: AttemptLedger,
    pub(crate) admission: Admission,
    /// Queued and running attempts by the ticket with which they were first submitted.
    pub(crate) attempts: IndexMap<Ticket, Attempt>,
    /// Entries by link address, with the time of their last heartbeat.
    pub(crate) entries: IndexMap<String, Millis>,
    pub(crate) config: ConfigState,
    /// Whether the state has changed since the last report to all entries.
    pub(crate) report_pending: bool,
    /// When to check for silent entries next; zero before the first check.
    pub(crate) next_check_at: Millis,
    pub(crate) probe: Option<ProbeResult>,
    pub(crate) quarantined: bool,
    /// Version that the engine is loading, if any.
    pub(crate) loading: Option<Version>,
    pub(crate) last_fence: Fence,
    pub(crate) leaving_since: Option<Millis>,
    /// Whether all new work is refused, at the end of the grace time of leaving.
    closed: bool,
    pub(crate) stopping: bool,
}

impl AgentControl {
    /// Creates the state of a new incarnation.
    pub fn new(cx: AgentCx, incarnation: Incarnation) -> Self {
        let admission = AdmissionConfig {
            policy: cx.cfg.policy,
            ..AdmissionConfig::for_capacity(cx.cfg.capacity)
        };
        Self {
            cx,
            ledger: AttemptLedger::new(incarnation, LedgerLimits::default()),
            admission: Admission::new(admission),
            attempts: IndexMap::new(),
            entries: IndexMap::new(),
            config: ConfigState::new(incarnation),
            report_pending: false,
            next_check_at: Millis::ZERO,
            probe: None,
            quarantined: false,
            loading: None,
            last_fence: Fence(0),
            leaving_since: None,
            closed: false,
            stopping: false,
        }
    }

    /// Handles an event, or a tick when it is `None`; returns false when the process may end.
    pub fn handle(&mut self, event: Option<AgentEvent>) -> bool {
        let now = now();
        match event {
            None => self.tick(now),
            Some(AgentEvent::Frame(frame)) => self.on_frame(now, *frame),
            Some(AgentEvent::FrameRefused(_)) => self.cx.metrics.count_event("frame-refused"),
            Some(AgentEvent::Ended(end)) => self.on_attempt_ended(now, end),
            Some(AgentEvent::Probed(probe)) => self.on_probe(probe),
            Some(AgentEvent::Swapped(report)) => self.on_swap_ended(report),
            Some(AgentEvent::Stop) => self.stop(now),
            Some(AgentEvent::Drain) => self.leave(now),
            Some(AgentEvent::Describe(reply)) => drop(reply.send(self.summary(now))),
        }
        !self.may_end(now)
    }

    fn on_frame(&mut self, now: Millis, frame: wire::Frame) {
        let from = frame.from;
        match frame.body {
            Some(Body::Submit(submit)) => self.on_submit(now, from, submit),
            Some(Body::Cancel(cancel)) => self.on_cancel(now, &cancel),
            Some(Body::Bury(bury)) => self.on_bury(now, &from, &bury),
            Some(Body::Hello(hello)) => self.on_hello(now, from, &hello),
            Some(Body::JournalEntries(entries)) => self.merge_config(now, &from, entries),
            Some(Body::JournalDigest(digest)) => self.compare_digest(now, &from, &digest),
            Some(Body::JournalFetch(fetch)) => {
                let entries = self.config.on_fetch(&fetch);
                self.cx.send(&from, entries);
            }
            Some(Body::WeightOrder(order)) => self.on_weight_order(from, order),
            Some(Body::DrainOrder(_)) => self.leave(now),
            _ => self.cx.metrics.count_event("frame-unexpected"),
        }
    }

    fn tick(&mut self, now: Millis) {
        self.ledger.prune(now);
        let actions = self.admission.tick(now);
        self.apply_actions(now, actions);
        self.close_after_grace(now);
        if now >= self.next_check_at {
            self.reset_after_pause(now);
            self.next_check_at = now.plus(ENTRY_CHECK_INTERVAL);
            self.drop_silent_entries(now);
        }
        if self.report_pending {
            self.report_to_all(now);
        }
    }

    /// Resets the heartbeat times after a pause of this process, which could not receive heartbeats.
    fn reset_after_pause(&mut self, now: Millis) {
        let is_first = self.next_check_at == Millis::ZERO;
        if is_first || now.since(self.next_check_at) < PAUSE_THRESHOLD {
            return;
        }
        log::warn!("event=paused length={}", now.since(self.next_check_at));
        for last_heartbeat in self.entries.values_mut() {
            *last_heartbeat = now;
        }
    }

    fn leave(&mut self, now: Millis) {
        if self.leaving_since.is_some() {
            return;
        }
        log::info!("event=leaving queued={}", self.admission.load(now).queued);
        self.leaving_since = Some(now);
        self.report_to_all(now);
    }

    /// Refuses queued and new work after [`LEAVE_GRACE`], when the entries know that the agent leaves.
    fn close_after_grace(&mut self, now: Millis) {
        let is_over = |since: Millis| now.since(since) >= LEAVE_GRACE;
        if self.closed || !self.leaving_since.is_some_and(is_over) {
            return;
        }
        self.closed = true;
        let actions = self.admission.leave();
        self.apply_actions(now, actions);
    }

    fn stop(&mut self, now: Millis) {
        if self.stopping {
            log::warn!(
                "event=stop reason=second-signal in-flight={}",
                self.attempts.len()
            );
            self.attempts.clear();
            self.closed = true;
            return;
        }
        self.stopping = true;
        self.leave(now);
    }

    /// Returns whether a stopping agent may end: when it is closed and idle, or when the drain time of
    /// the contracts is over.
    fn may_end(&self, now: Millis) -> bool {
        let Some(since) = self.leaving_since.filter(|_| self.stopping) else {
            return false;
        };
        let limit = self.config.contracts().drain().unwrap_or(self.cx.cfg.drain);
        let is_idle = self.closed && self.attempts.is_empty();
        is_idle || now.since(since) >= limit
    }

    fn summary(&self, now: Millis) -> AgentSummary {
        let load = self.admission.load(now);
        let state = match self.state() {
            wire::AgentState::Serving => "serving",
            wire::AgentState::Leaving => "leaving",
            wire::AgentState::Quarantined => "quarantined",
        };
        AgentSummary {
            name: self.cx.cfg.node.name.clone(),
            incarnation: self.ledger.incarnation().to_string(),
            ready: state == "serving" && !self.config.contracts().all().is_empty(),
            state,
            running: load.running,
            queued: load.queued,
            records: self.ledger.len(),
            config_digest: format!("{:016x}", self.config.digest().digest),
        }
    }
}
