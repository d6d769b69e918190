//! The control state of an agent: what it does on each event.

use crate::agent_cx::AgentCx;
use crate::agent_event::{AgentEvent, AgentSummary, Probe, SwapReport};
use crate::attempt::{Attempt, AttemptEnd, Waiter};
use crate::config_desk::ConfigDesk;
use crate::engine_client::SwapEnd;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits, SubmitAction};
use oleanderlock::request_outcome::Outcome;
use oleanderlock::work::{AdmissionAction, Refusal, Verdict, Work};

/// Time between two looks for silent entries.
const LOOK_EVERY: Millis = Millis(1000);
/// Time to come back after a refusal that admission did not make.
const REFUSED_RETRY: Millis = Millis(1000);
/// Time after which an entry that says nothing gets no more reports.
const ENTRY_SILENT: Millis = Millis::from_secs(10);

/// Time for which a leaving agent still takes work: what entries sent before they heard of it, and
/// calls with keys that were just issued for it.
const LEAVE_GRACE: Millis = Millis(500);

/// Waves in which the engines of one model load a version.
const WAVES: u64 = 3;
/// Time between two waves, in milliseconds.
const WAVE_MS: u64 = 300;

/// A swap that waits for its wave.
struct PlannedSwap {
    model: String,
    version: Version,
    fence: Fence,
    due: Millis,
}

/// The control state of an agent.
pub struct AgentControl {
    cx: AgentCx,
    ledger: AttemptLedger,
    admission: Admission,
    /// Queued and running attempts by the ticket first seen.
    attempts: IndexMap<Ticket, Attempt>,
    /// Entries by link address, with the time of their last word.
    entries: IndexMap<String, Millis>,
    config: ConfigDesk,
    /// The agent's state changed since the last report to all.
    report_wanted: bool,
    look_due: Millis,
    probe: Option<Probe>,
    quarantined: bool,
    swapping: bool,
    planned: Option<PlannedSwap>,
    last_fence: Fence,
    leaving_since: Option<Millis>,
    /// No new work is taken any more.
    closed: bool,
    stopping: bool,
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
            config: ConfigDesk::new(incarnation),
            report_wanted: false,
            look_due: Millis::ZERO,
            probe: None,
            quarantined: false,
            swapping: false,
            planned: None,
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
            Some(AgentEvent::FrameRefused(_)) => self.cx.metrics.count("frame-refused"),
            Some(AgentEvent::Ended(end)) => self.ended(now, end),
            Some(AgentEvent::Probed(probe)) => self.probed(now, probe),
            Some(AgentEvent::Swapped(report)) => self.swapped(now, report),
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
            _ => self.cx.metrics.count("frame-unexpected"),
        }
    }

    fn submit(&mut self, now: Millis, from: String, submit: wire::Submit) {
        let Some(attempt) = Attempt::read(from, submit) else {
            self.cx.metrics.count("frame-malformed");
            return;
        };
        match self.ledger.submit(now, &attempt.submission) {
            SubmitAction::Start => self.admit(now, attempt),
            SubmitAction::Attach => self.attach(attempt),
            SubmitAction::Repeat(outcome) => self.send_outcome(now, &attempt.waiters, &outcome),
            SubmitAction::Refuse(kind, ran) => {
                self.cx.metrics.refused(kind);
                self.send_outcome(now, &attempt.waiters, &Outcome::failed(kind, ran));
            }
        }
    }

    /// Adds a sender to the attempt that already stands for its request.
    fn attach(&mut self, attempt: Attempt) {
        let standing = self.standing(attempt.ticket());
        if let Some(found) = standing.and_then(|ticket| self.attempts.get_mut(&ticket)) {
            for waiter in attempt.waiters {
                if !found.waiters.contains(&waiter) {
                    found.waiters.push(waiter);
                }
            }
        }
    }

    /// Returns the ticket of the attempt that stands for the request of `wanted`.
    fn standing(&self, wanted: Ticket) -> Option<Ticket> {
        let same = |found: &&Attempt| {
            let ticket = found.ticket();
            ticket.request == wanted.request
                && (!found.submission.idempotent || ticket.attempt == wanted.attempt)
        };
        self.attempts.values().find(same).map(Attempt::ticket)
    }

    fn admit(&mut self, now: Millis, attempt: Attempt) {
        let ticket = attempt.ticket();
        let verdict = self.verdict(now, &attempt);
        self.attempts.insert(ticket, attempt);
        match verdict {
            Ok(Verdict::Start) => self.start(now, ticket),
            Ok(Verdict::Queued | Verdict::Duplicate) => {}
            Ok(Verdict::Refuse(refusal)) => self.refuse(now, ticket, refusal),
            Err(error) => {
                self.refuse(
                    now,
                    ticket,
                    Refusal {
                        error,
                        retry_after: REFUSED_RETRY,
                    },
                );
            }
        }
    }

    fn verdict(&mut self, now: Millis, attempt: &Attempt) -> Result<Verdict, ErrorKind> {
        if !self.cx.cfg.targets.contains(&attempt.target) {
            return Err(ErrorKind::UnknownTarget);
        }
        if self.quarantined {
            return Err(ErrorKind::Quarantined);
        }
        let class = self
            .admission
            .class(&attempt.class)
            .ok_or(ErrorKind::NoContract)?;
        let work = Work {
            ticket: attempt.ticket(),
            class,
            kind: attempt.kind,
            priority: self.config.priority_of(&attempt.class),
            deadline: attempt.submission.deadline,
            cost: attempt.cost,
        };
        Ok(self.admission.submit(now, work))
    }

    fn act(&mut self, now: Millis, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(ticket) => self.start(now, ticket),
                AdmissionAction::Refuse(ticket, refusal) => self.refuse(now, ticket, refusal),
            }
        }
    }

    fn start(&mut self, now: Millis, ticket: Ticket) {
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        match self
            .ledger
            .start(now, ticket, attempt.submission.idempotent)
        {
            Ok(()) => {
                self.cx.metrics.began();
                self.cx.run(attempt.clone());
            }
            Err(outcome) => {
                let actions = self.admission.cancelled(now, ticket);
                self.settle(now, ticket, outcome);
                self.act(now, actions);
            }
        }
    }

    fn refuse(&mut self, now: Millis, ticket: Ticket, refusal: Refusal) {
        self.cx.metrics.refused(refusal.error);
        let outcome = Outcome::failed(refusal.error, Ran::No).retry_after(refusal.retry_after);
        self.settle(now, ticket, outcome);
    }

    fn ended(&mut self, now: Millis, end: AttemptEnd) {
        self.cx.metrics.ended();
        let tokens = end.outcome.total;
        self.settle(now, end.ticket, end.outcome);
        let actions = self.admission.finished(now, end.ticket, tokens);
        self.act(now, actions);
    }

    /// Records an outcome and sends it to all that wait for it.
    fn settle(&mut self, now: Millis, ticket: Ticket, outcome: Outcome) {
        let Some(attempt) = self.attempts.swap_remove(&ticket) else {
            return;
        };
        self.ledger
            .finish(ticket, attempt.submission.idempotent, outcome.clone());
        self.send_outcome(now, &attempt.waiters, &outcome);
    }

    fn send_outcome(&self, now: Millis, waiters: &[Waiter], outcome: &Outcome) {
        for waiter in waiters {
            let finish = wire::Finish {
                ticket: Some(waiter.ticket.into()),
                ran: wire::Ran::from(outcome.ran).into(),
                error: outcome
                    .error
                    .map(|kind| kind.to_string())
                    .unwrap_or_default(),
                retry_after_ms: outcome.retry_after.unwrap_or_default().0,
                total: outcome.total,
                status: u32::from(outcome.status),
                data: outcome.data.clone().unwrap_or_default(),
                load: Some(self.load(now)),
            };
            self.cx.send(&waiter.entry, Body::Finish(finish));
        }
    }

    fn cancel(&mut self, now: Millis, cancel: &wire::Cancel) {
        let Some(ticket) = cancel.ticket.as_ref().and_then(wire::Ticket::typed) else {
            return;
        };
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        // Work that may not be repeated runs to its end, so that its outcome is known.
        if !attempt.submission.idempotent {
            return;
        }
        self.cancel_attempt(now, ticket);
    }

    fn cancel_attempt(&mut self, now: Millis, ticket: Ticket) {
        self.cx.metrics.count("cancelled");
        if self.cx.stop_run(ticket) {
            self.cx.metrics.ended();
        }
        self.settle(
            now,
            ticket,
            Outcome::failed(ErrorKind::Cancelled, Ran::Unknown),
        );
        let actions = self.admission.cancelled(now, ticket);
        self.act(now, actions);
    }

    fn bury(&mut self, now: Millis, from: &str, bury: &wire::Bury) {
        let Some(ticket) = bury.ticket.as_ref().and_then(wire::Ticket::typed) else {
            return;
        };
        let submission = oleanderlock::submission::Submission {
            ticket,
            idempotent: bury.idempotent,
            deadline: Millis(bury.deadline_ms),
            horizon: Millis(bury.horizon_ms),
            fingerprint: bury.fingerprint,
        };
        let burial = self.ledger.bury(now, &submission);
        // The attempt may be queued under the ticket of another call with the same key.
        let queued = self.standing(ticket).filter(|_| burial.dequeued);
        if let Some(queued) = queued {
            self.settle(now, queued, Outcome::failed(ErrorKind::Cancelled, Ran::No));
            let actions = self.admission.cancelled(now, queued);
            self.act(now, actions);
        }
        let ran = wire::Ran::from(burial.ran).into();
        self.cx.send(
            from,
            Body::Buried(wire::Buried {
                ticket: Some(ticket.into()),
                ran,
            }),
        );
    }

    /// Answers each word of an entry with a report, so that both know that the other is there.
    fn hello(&mut self, now: Millis, from: String, hello: &wire::Hello) {
        self.compare(now, &from, &hello.config.unwrap_or_default());
        self.report_to(now, &from);
        self.entries.insert(from, now);
    }

    fn compare(&mut self, now: Millis, from: &str, digest: &wire::JournalDigest) {
        if let Some(reply) = self.config.on_digest(now, from, digest) {
            self.cx.send(from, reply);
        }
    }

    fn take_config(&mut self, now: Millis, from: &str, entries: wire::JournalEntries) {
        let outcome = self.config.on_entries(now, from, entries);
        if let Some(reply) = outcome.reply {
            self.cx.send(from, reply);
        }
        if !outcome.changed {
            return;
        }
        self.admission
            .set_classes(&self.config.contracts().grants());
        self.plan_swap(now);
        let digest = self.config.digest().digest;
        log::info!("event=config digest={digest:016x}");
        self.report_to_all(now);
    }

    /// Plans to load the version published for this engine's model.
    ///
    /// The agents of one model start at different times, so that enough engines serve meanwhile
    /// and the weight store is not asked by all at once.
    fn plan_swap(&mut self, now: Millis) {
        let Some(model) = self.cx.cfg.targets.first() else {
            return;
        };
        let Some(published) = self.config.published(model) else {
            return;
        };
        let serving = self
            .probe
            .and_then(|probe| probe.version)
            .unwrap_or_default();
        let is_planned = self
            .planned
            .as_ref()
            .is_some_and(|it| it.version >= published.version);
        if !self.cx.is_engine() || serving >= published.version || is_planned {
            return;
        }
        let wave = wave_of(&self.cx.cfg.node.name, published.version);
        self.planned = Some(PlannedSwap {
            model: model.clone(),
            version: published.version,
            fence: published.fence,
            due: now.plus(Millis(wave * WAVE_MS)),
        });
    }

    fn start_planned_swap(&mut self, now: Millis) {
        if self.swapping
            || self
                .planned
                .as_ref()
                .is_none_or(|planned| planned.due > now)
        {
            return;
        }
        let Some(planned) = self.planned.take() else {
            return;
        };
        let order = wire::WeightOrder {
            fence: planned.fence.0,
            model: planned.model,
            version: planned.version.0,
        };
        self.order_weights(String::new(), order);
    }

    fn order_weights(&mut self, entry: String, order: wire::WeightOrder) {
        let fence = Fence(order.fence);
        if fence < self.last_fence {
            self.cx.metrics.refused(ErrorKind::OldFence);
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
        if self.swapping {
            return;
        }
        self.swapping = true;
        self.cx.swap(entry, order);
    }

    fn swapped(&mut self, now: Millis, report: SwapReport) {
        self.swapping = false;
        log::info!("event=swap version={} end={:?}", report.version, report.end);
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
                self.cx.metrics.count("swap-failed");
                self.quarantined = true;
            }
        }
        self.report_wanted = true;
        self.plan_swap(now);
        if !report.entry.is_empty() {
            self.send_status(&report);
        }
    }

    fn send_status(&self, report: &SwapReport) {
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

    fn probed(&mut self, now: Millis, probe: Probe) {
        let changed = self.probe != Some(probe);
        self.probe = Some(probe);
        if !self.swapping {
            self.quarantined = self.cx.is_engine() && (!probe.up || probe.version.is_none());
        }
        if changed {
            self.report_wanted = true;
            self.plan_swap(now);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.ledger.forget(now);
        let actions = self.admission.tick(now);
        self.act(now, actions);
        self.start_planned_swap(now);
        self.close_after_grace(now);
        if now >= self.look_due {
            self.look_due = now.plus(LOOK_EVERY);
            self.drop_silent_entries(now);
        }
        if self.report_wanted {
            self.report_to_all(now);
        }
    }

    /// Forgets silent entries and cancels what only they wait for, if it may be repeated.
    fn drop_silent_entries(&mut self, now: Millis) {
        self.entries
            .retain(|_, heard| now.since(*heard) < ENTRY_SILENT);
        let entries = &self.entries;
        let is_unwanted = |attempt: &&Attempt| {
            let heard = |waiter: &Waiter| entries.contains_key(&waiter.entry);
            attempt.submission.idempotent && !attempt.waiters.iter().any(heard)
        };
        let unwanted = self.attempts.values().filter(is_unwanted);
        let tickets: Vec<Ticket> = unwanted.map(Attempt::ticket).collect();
        for ticket in tickets {
            self.cancel_attempt(now, ticket);
        }
    }

    fn report_to_all(&mut self, now: Millis) {
        self.report_wanted = false;
        for entry in self.entries.keys() {
            self.report_to(now, entry);
        }
    }

    fn report_to(&self, now: Millis, entry: &str) {
        let version = self.probe.and_then(|probe| probe.version);
        let report = wire::Report {
            state: self.state().into(),
            load: Some(self.load(now)),
            domain: self.cx.cfg.node.domain.clone(),
            targets: self.cx.cfg.targets.clone(),
            version: version.unwrap_or_default().0,
            version_unknown: self.cx.is_engine() && version.is_none(),
            config: Some(self.config.digest()),
            clock_ms: now.0,
            name: self.cx.cfg.node.name.clone(),
        };
        self.cx.send(entry, Body::Report(report));
    }

    fn load(&self, now: Millis) -> wire::Load {
        let load = self.admission.load(now);
        wire::Load {
            running: load.running,
            queued: load.queued,
            capacity: load.capacity,
            wait_ms: load.wait.0,
        }
    }

    fn state(&self) -> wire::AgentState {
        if self.leaving_since.is_some() {
            wire::AgentState::Leaving
        } else if self.quarantined {
            wire::AgentState::Quarantined
        } else {
            wire::AgentState::Serving
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

fn wave_of(name: &str, version: Version) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&version.0.to_be_bytes());
    u64::from(hasher.finalize().as_bytes()[0]) % WAVES
}
