//! The control state of an agent: what it does on each event.

use crate::agent::agent_cx::AgentCx;
use crate::agent::agent_event::{AgentEvent, AgentSummary, Probe};
use crate::contracts::config_state::ConfigState;
use crate::entry::attempt::Attempt;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits};

/// Delay of a look from which on this process was paused.
const PAUSE: Millis = Millis(1500);
/// Time between two looks for silent entries.
const LOOK_EVERY: Millis = Millis(1000);

/// Time for which a leaving agent still takes work: what entries sent before they heard of it, and
/// calls with keys that were just issued for it.
const LEAVE_GRACE: Millis = Millis(500);

/// The control state of an agent.
pub struct AgentControl {
    pub(crate) cx: AgentCx,
    pub(crate) ledger: AttemptLedger,
    pub(crate) admission: Admission,
    /// Queued and running attempts by the ticket first seen.
    pub(crate) attempts: IndexMap<Ticket, Attempt>,
    /// Entries by link address, with the time of their last word.
    pub(crate) entries: IndexMap<String, Millis>,
    pub(crate) config: ConfigState,
    /// The agent's state changed since the last report to all.
    pub(crate) report_wanted: bool,
    pub(crate) look_due: Millis,
    pub(crate) probe: Option<Probe>,
    pub(crate) quarantined: bool,
    /// Version that the engine is loading.
    pub(crate) loading: Option<Version>,
    pub(crate) last_fence: Fence,
    pub(crate) leaving_since: Option<Millis>,
    /// No new work is taken any more.
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
            report_wanted: false,
            look_due: Millis::ZERO,
            probe: None,
            quarantined: false,
            loading: None,
            last_fence: Fence(0),
            leaving_since: None,
            closed: false,
            stopping: false,
        }
    }

    /// Handles one event, or a tick; returns false when the process may end.
    pub fn handle(&mut self, event: Option<AgentEvent>) -> bool {
        let now = now();
        match event {
            None => self.tick(now),
            Some(AgentEvent::Frame(frame)) => self.frame(now, *frame),
            Some(AgentEvent::FrameRefused(_)) => self.cx.metrics.count_event("frame-refused"),
            Some(AgentEvent::Ended(end)) => self.ended(now, end),
            Some(AgentEvent::Probed(probe)) => self.probed(probe),
            Some(AgentEvent::Swapped(report)) => self.swapped(report),
            Some(AgentEvent::Stop) => self.stop(now),
            Some(AgentEvent::Drain) => self.leave(now),
            Some(AgentEvent::Describe(reply)) => drop(reply.send(self.summary(now))),
        }
        !self.may_end(now)
    }

    fn frame(&mut self, now: Millis, frame: wire::Frame) {
        let from = frame.from;
        match frame.body {
            Some(Body::Submit(submit)) => self.submit(now, from, submit),
            Some(Body::Cancel(cancel)) => self.cancel(now, &cancel),
            Some(Body::Bury(bury)) => self.bury(now, &from, &bury),
            Some(Body::Hello(hello)) => self.hello(now, from, &hello),
            Some(Body::JournalEntries(entries)) => self.take_config(now, &from, entries),
            Some(Body::JournalDigest(digest)) => self.compare(now, &from, &digest),
            Some(Body::JournalFetch(fetch)) => {
                let entries = self.config.on_fetch(&fetch);
                self.cx.send(&from, entries);
            }
            Some(Body::WeightOrder(order)) => self.order_weights(from, order),
            Some(Body::DrainOrder(_)) => self.leave(now),
            _ => self.cx.metrics.count_event("frame-unexpected"),
        }
    }

    fn tick(&mut self, now: Millis) {
        self.ledger.prune(now);
        let actions = self.admission.tick(now);
        self.act(now, actions);
        self.close_after_grace(now);
        if now >= self.look_due {
            self.excuse_pause(now);
            self.look_due = now.plus(LOOK_EVERY);
            self.drop_silent_entries(now);
        }
        if self.report_wanted {
            self.report_to_all(now);
        }
    }

    /// After a pause of this process the silence of entries says nothing.
    fn excuse_pause(&mut self, now: Millis) {
        let is_first = self.look_due == Millis::ZERO;
        if is_first || now.since(self.look_due) < PAUSE {
            return;
        }
        log::warn!("event=paused length={}", now.since(self.look_due));
        for heard in self.entries.values_mut() {
            *heard = now;
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

    /// Refuses queued and new work once the entries have had time to hear that the agent leaves.
    fn close_after_grace(&mut self, now: Millis) {
        let is_over = |since: Millis| now.since(since) >= LEAVE_GRACE;
        if self.closed || !self.leaving_since.is_some_and(is_over) {
            return;
        }
        self.closed = true;
        let actions = self.admission.leave();
        self.act(now, actions);
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

    /// A stopping agent ends when it is closed and nothing is in flight, or at the contract's limit.
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
