//! State machine of one request at an entry: its attempts, and the answer to its caller.

pub use crate::request_spec::{Placement, RequestSpec, TrackConfig};
pub use crate::track_event::{TrackAction, TrackEvent};

use crate::guards::Guards;
use crate::prelude::*;
use crate::request_outcome::Outcome;

/// What the entry knows about one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    ticket: Ticket,
    /// Submissions sent with this ticket.
    sends: u32,
    /// When to send the ticket again; set after a broken connection.
    resend_at: Option<Millis>,
    started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Waiting for routing to choose an endpoint.
    Choosing,
    /// Waiting for the outcome of the attempt.
    Waiting(Attempt),
    /// As `Waiting`, with a bury message sent.
    Burying(Attempt),
    /// The caller has its answer or is gone.
    Done,
}

/// Tracks one request until its caller has an answer.
///
/// Performs no I/O: [`RequestTracker::step`] takes an event and returns the next action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestTracker {
    spec: RequestSpec,
    cfg: TrackConfig,
    guards: Guards,
    phase: Phase,
    attempts: u32,
    /// Whether earlier attempts or calls ran.
    earlier: Ran,
}

impl RequestTracker {
    /// Starts to track a request and returns the first action.
    pub fn open(spec: RequestSpec, cfg: TrackConfig) -> (Self, TrackAction) {
        Self::with_guards(spec, cfg, Guards::ALL)
    }

    /// As [`Self::open`], with some guards switched off; for model checking.
    pub fn with_guards(spec: RequestSpec, cfg: TrackConfig, guards: Guards) -> (Self, TrackAction) {
        let mut track = Self {
            spec,
            cfg,
            guards,
            phase: Phase::Choosing,
            attempts: 0,
            earlier: Ran::No,
        };
        if let Placement::Bound {
            incarnation,
            first_call,
        } = spec.placement
        {
            if guards.unknown_earlier_call && !first_call {
                track.earlier = Ran::Unknown;
            }
            let action = track.attempt(incarnation);
            return (track, action);
        }
        (track, TrackAction::Choose)
    }

    /// Returns the request that is tracked.
    pub const fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns whether the caller has its answer or is gone.
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Returns the number of attempts made so far.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the ticket of the current attempt; `None` if there is none.
    pub const fn current(&self) -> Option<Ticket> {
        match self.phase {
            Phase::Waiting(attempt) | Phase::Burying(attempt) => Some(attempt.ticket),
            Phase::Choosing | Phase::Done => None,
        }
    }

    /// Returns when to send the next [`TrackEvent::Tick`]; `None` once the request is done.
    pub fn wake_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Waiting(attempt) => Some(self.attempt_wake_at(attempt)),
            Phase::Choosing | Phase::Burying(_) => Some(self.spec.deadline),
            Phase::Done => None,
        }
    }

    /// Handles an event at time `now` of the entry's clock and returns the next action, if any.
    /// Events of earlier attempts are ignored.
    pub fn step(&mut self, now: Millis, event: TrackEvent) -> Option<TrackAction> {
        match (self.phase, event) {
            (Phase::Done, _) => None,
            (_, TrackEvent::CallerGone) => self.abandon(),
            (_, event) if now >= self.spec.deadline => Some(self.expire(event)),
            (phase, TrackEvent::Tick) => self.tick(now, phase),
            (Phase::Choosing, TrackEvent::Route(incarnation)) => Some(self.attempt(incarnation)),
            (Phase::Choosing, TrackEvent::NoRoute(kind)) => Some(self.fail(kind, self.earlier)),
            (Phase::Choosing, _) => None,
            (Phase::Waiting(attempt) | Phase::Burying(attempt), event) => {
                self.step_attempt(now, attempt, event)
            }
        }
    }

    fn step_attempt(
        &mut self,
        now: Millis,
        attempt: Attempt,
        event: TrackEvent,
    ) -> Option<TrackAction> {
        let current = |ticket| ticket == attempt.ticket || !self.guards.current_ticket;
        match event {
            TrackEvent::NotSent(ticket) if current(ticket) => self.on_not_sent(now, attempt),
            TrackEvent::Disconnected(ticket) if current(ticket) => self.on_disconnect(now, attempt),
            TrackEvent::AgentGone(incarnation) if incarnation == attempt.ticket.incarnation => {
                Some(self.on_lost(attempt))
            }
            TrackEvent::Started(ticket) if current(ticket) => {
                self.phase = Phase::Waiting(Attempt {
                    started: true,
                    ..attempt
                });
                None
            }
            TrackEvent::Finished(ticket, outcome) if current(ticket) => {
                Some(self.on_finished(outcome))
            }
            TrackEvent::Buried(ticket, ran) if current(ticket) => self.on_buried(attempt, ran),
            _ => None,
        }
    }

    fn attempt(&mut self, incarnation: Incarnation) -> TrackAction {
        let ticket = Ticket {
            request: self.spec.id,
            attempt: self.spec.first_attempt.wrapping_add(self.attempts),
            incarnation,
        };
        self.attempts += 1;
        self.phase = Phase::Waiting(Attempt {
            ticket,
            sends: 1,
            resend_at: None,
            started: false,
        });
        TrackAction::Send(ticket)
    }

    fn tick(&mut self, now: Millis, phase: Phase) -> Option<TrackAction> {
        let Phase::Waiting(attempt) = phase else {
            return None;
        };
        if attempt.resend_at.is_some_and(|at| now >= at) {
            return Some(self.resend(attempt));
        }
        if attempt.started || now < self.bury_at() {
            return None;
        }
        self.phase = Phase::Burying(attempt);
        Some(TrackAction::Bury(attempt.ticket))
    }

    fn attempt_wake_at(&self, attempt: Attempt) -> Millis {
        let end = match attempt.started {
            true => self.spec.deadline,
            false => self.bury_at(),
        };
        attempt.resend_at.map_or(end, |at| at.min(end))
    }

    fn bury_at(&self) -> Millis {
        self.spec.deadline.since(self.cfg.bury_margin)
    }

    fn on_not_sent(&mut self, now: Millis, attempt: Attempt) -> Option<TrackAction> {
        let never_sent = attempt.sends == 1 && attempt.resend_at.is_none() && !attempt.started;
        if never_sent {
            return Some(self.retry_or_fail(ErrorKind::NoEndpoint, self.earlier));
        }
        self.on_disconnect(now, attempt)
    }

    fn on_disconnect(&mut self, now: Millis, attempt: Attempt) -> Option<TrackAction> {
        if self.spec.idempotent || attempt.sends >= self.cfg.max_sends {
            return Some(self.on_lost(attempt));
        }
        let doublings = attempt.sends.saturating_sub(1).min(16);
        let wait = Millis(self.cfg.resend_after.0 << doublings);
        self.phase = Phase::Waiting(Attempt {
            resend_at: Some(now.plus(wait)),
            ..attempt
        });
        None
    }

    /// Sends the same ticket again, by which the entry attaches to the running attempt or gets its
    /// recorded outcome.
    fn resend(&mut self, attempt: Attempt) -> TrackAction {
        self.phase = Phase::Waiting(Attempt {
            sends: attempt.sends + 1,
            resend_at: None,
            ..attempt
        });
        TrackAction::Send(attempt.ticket)
    }

    /// Handles an attempt whose agent can't be reached any more.
    fn on_lost(&mut self, attempt: Attempt) -> TrackAction {
        let ran = match attempt.started {
            true => Ran::Yes,
            false if self.guards.lost_agent => Ran::Unknown,
            false => Ran::No,
        };
        self.retry_or_fail(ErrorKind::AgentLost, ran)
    }

    fn on_finished(&mut self, outcome: Outcome) -> TrackAction {
        match outcome.error {
            Some(kind) if is_transient(kind) => self.retry_or_answer(outcome),
            _ => self.answer(outcome),
        }
    }

    fn on_buried(&mut self, attempt: Attempt, ran: Ran) -> Option<TrackAction> {
        if ran == Ran::No {
            let ran = self.combined(Ran::No);
            return Some(self.fail(ErrorKind::DeadlineBeforeStart, ran));
        }
        self.phase = Phase::Burying(Attempt {
            started: attempt.started || ran == Ran::Yes,
            ..attempt
        });
        None
    }

    fn retry_or_fail(&mut self, kind: ErrorKind, ran: Ran) -> TrackAction {
        self.retry_or_answer(Outcome::failed(kind, ran))
    }

    fn retry_or_answer(&mut self, outcome: Outcome) -> TrackAction {
        if !self.may_retry(outcome.ran) {
            return self.answer(outcome);
        }
        self.earlier = self.combined(outcome.ran);
        if self.attempts >= self.cfg.max_attempts {
            return self.answer(outcome);
        }
        self.phase = Phase::Choosing;
        TrackAction::Choose
    }

    fn may_retry(&self, ran: Ran) -> bool {
        let free = self.spec.placement == Placement::Free;
        let safe = self.spec.idempotent || ran == Ran::No || !self.guards.retry_only_not_run;
        free && safe
    }

    /// Combines whether an attempt ran with whether earlier ones did.
    fn combined(&self, ran: Ran) -> Ran {
        match (self.spec.placement, self.earlier, ran) {
            // A bound request has one outcome, kept by one agent, so it covers earlier calls too.
            (Placement::Bound { .. }, _, ran) if !self.spec.idempotent => ran,
            (_, Ran::Yes, _) | (_, _, Ran::Yes) => Ran::Yes,
            (_, Ran::Unknown, _) | (_, _, Ran::Unknown) => Ran::Unknown,
            (_, Ran::No, Ran::No) => Ran::No,
        }
    }

    /// Answers the caller at the deadline. An outcome that arrives just then is still used.
    fn expire(&mut self, event: TrackEvent) -> TrackAction {
        if let TrackEvent::Finished(ticket, outcome) = event
            && Some(ticket) == self.current()
        {
            return self.answer(outcome);
        }
        let Some(attempt) = self.waiting() else {
            return self.fail(ErrorKind::DeadlineBeforeStart, self.earlier);
        };
        let ran = match attempt.started {
            true => Ran::Yes,
            false => Ran::Unknown,
        };
        let ran = self.combined(ran);
        self.fail(ErrorKind::DeadlineWhileRunning, ran)
    }

    const fn waiting(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Waiting(attempt) | Phase::Burying(attempt) => Some(attempt),
            Phase::Choosing | Phase::Done => None,
        }
    }

    /// Stops the tracking when the caller is gone, and buries the current attempt.
    fn abandon(&mut self) -> Option<TrackAction> {
        let ticket = self.current();
        self.phase = Phase::Done;
        ticket.map(TrackAction::Bury)
    }

    fn fail(&mut self, kind: ErrorKind, ran: Ran) -> TrackAction {
        self.phase = Phase::Done;
        TrackAction::Answer(Outcome::failed(kind, ran))
    }

    /// Returns the error that the caller gets. If the attempt was buried in the queue because of
    /// the deadline, the agent reports it as cancelled, but the reason is the deadline.
    fn reported_error(&self, outcome: &Outcome) -> Option<ErrorKind> {
        match (self.phase, outcome.error, outcome.ran) {
            (Phase::Burying(_), Some(ErrorKind::Cancelled), Ran::No) => {
                Some(ErrorKind::DeadlineBeforeStart)
            }
            (_, error, _) => error,
        }
    }

    fn answer(&mut self, outcome: Outcome) -> TrackAction {
        let ran = self.combined(outcome.ran);
        let error = self.reported_error(&outcome);
        self.phase = Phase::Done;
        TrackAction::Answer(Outcome {
            ran,
            error,
            ..outcome
        })
    }
}

/// Returns whether an attempt at another endpoint may succeed.
const fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::ShareExhausted
            | ErrorKind::NoEndpoint
            | ErrorKind::Leaving
            | ErrorKind::Quarantined
            | ErrorKind::WrongIncarnation
            | ErrorKind::EndpointFailed
            | ErrorKind::AgentLost
            | ErrorKind::ShuttingDown
    )
}
