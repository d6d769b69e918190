//! Attempts of an agent: duplicates, admission, start, end, cancellation and burial.

use crate::agent::agent_control::AgentControl;
use crate::entry::attempt::{Attempt, AttemptEnd, Waiter};
use crate::entry::request_log;
use crate::prelude::*;
use oleanderlock::attempt_ledger::SubmitAction;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::work::{AdmissionAction, Refusal, Verdict, Work};

/// Retry delay that is sent with refusals made before admission.
const REFUSAL_RETRY_DELAY: Millis = Millis(1000);

impl AgentControl {
    pub(crate) fn on_submit(&mut self, now: Millis, from: String, submit: wire::Submit) {
        let Some(attempt) = Attempt::read(from, submit) else {
            self.cx.metrics.count_event("frame-malformed");
            return;
        };
        match self.ledger.submit(now, &attempt.submission) {
            SubmitAction::Start => self.admit(now, attempt),
            SubmitAction::Attach => self.attach(attempt),
            SubmitAction::Repeat(outcome) => self.send_outcome(now, &attempt.waiters, &outcome),
            SubmitAction::Refuse(kind, ran) => {
                self.cx.metrics.record_refusal(kind);
                request_log::refused(attempt.ticket(), kind, ran);
                self.send_outcome(now, &attempt.waiters, &Outcome::failed(kind, ran));
            }
        }
    }

    /// Adds the sender to the waiters of the attempt that already runs or waits for its request.
    pub(crate) fn attach(&mut self, attempt: Attempt) {
        let active = self.active_ticket(attempt.ticket());
        if let Some(found) = active.and_then(|ticket| self.attempts.get_mut(&ticket)) {
            for waiter in attempt.waiters {
                if !found.waiters.contains(&waiter) {
                    found.waiters.push(waiter);
                }
            }
        }
    }

    /// Returns the ticket of the queued or running attempt for the request of `ticket`.
    ///
    /// Attempts of idempotent work are separate, so there the attempt number must match too.
    pub(crate) fn active_ticket(&self, ticket: Ticket) -> Option<Ticket> {
        let same = |found: &&Attempt| {
            let found_ticket = found.ticket();
            found_ticket.request == ticket.request
                && (!found.submission.idempotent || found_ticket.attempt == ticket.attempt)
        };
        self.attempts.values().find(same).map(Attempt::ticket)
    }

    pub(crate) fn admit(&mut self, now: Millis, attempt: Attempt) {
        let ticket = attempt.ticket();
        let verdict = self.check_admission(now, &attempt);
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
                        retry_after: REFUSAL_RETRY_DELAY,
                    },
                );
            }
        }
    }

    /// Decides whether an attempt may start now, is queued or is refused.
    ///
    /// # Errors
    ///
    /// The reason of a refusal before admission control: unknown target, quarantine or no contract.
    pub(crate) fn check_admission(
        &mut self,
        now: Millis,
        attempt: &Attempt,
    ) -> Result<Verdict, ErrorKind> {
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

    pub(crate) fn apply_actions(&mut self, now: Millis, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(ticket) => self.start(now, ticket),
                AdmissionAction::Refuse(ticket, refusal) => self.refuse(now, ticket, refusal),
            }
        }
    }

    pub(crate) fn start(&mut self, now: Millis, ticket: Ticket) {
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        match self
            .ledger
            .start(now, ticket, attempt.submission.idempotent)
        {
            Ok(()) => {
                request_log::started(attempt);
                self.cx.metrics.begin_work();
                self.cx.run(attempt.clone());
            }
            Err(outcome) => {
                let actions = self.admission.cancel(now, ticket);
                self.settle(now, ticket, outcome);
                self.apply_actions(now, actions);
            }
        }
    }

    pub(crate) fn refuse(&mut self, now: Millis, ticket: Ticket, refusal: Refusal) {
        self.cx.metrics.record_refusal(refusal.error);
        request_log::refused(ticket, refusal.error, Ran::No);
        let outcome = Outcome::failed(refusal.error, Ran::No).retry_after(refusal.retry_after);
        self.settle(now, ticket, outcome);
    }

    pub(crate) fn on_attempt_ended(&mut self, now: Millis, end: AttemptEnd) {
        self.cx.metrics.end_work();
        request_log::finished(end.ticket, &end.outcome);
        let tokens = end.outcome.total;
        self.settle(now, end.ticket, end.outcome);
        let actions = self.admission.finish(now, end.ticket, tokens);
        self.apply_actions(now, actions);
    }

    /// Removes an attempt, records its outcome in the ledger and sends it to all waiters.
    pub(crate) fn settle(&mut self, now: Millis, ticket: Ticket, outcome: Outcome) {
        let Some(attempt) = self.attempts.swap_remove(&ticket) else {
            return;
        };
        self.ledger
            .finish(ticket, attempt.submission.idempotent, outcome.clone());
        self.send_outcome(now, &attempt.waiters, &outcome);
    }

    pub(crate) fn send_outcome(&self, now: Millis, waiters: &[Waiter], outcome: &Outcome) {
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

    pub(crate) fn on_cancel(&mut self, now: Millis, cancel: &wire::Cancel) {
        let Some(ticket) = cancel.ticket.as_ref().and_then(wire::Ticket::to_ticket) else {
            return;
        };
        let Some(attempt) = self.attempts.get(&ticket) else {
            return;
        };
        // Work that is not idempotent runs to its end, so that its outcome is known.
        if !attempt.submission.idempotent {
            return;
        }
        self.cancel_attempt(now, ticket);
    }

    /// Stops a queued or running attempt and reports it to its waiters as cancelled.
    pub(crate) fn cancel_attempt(&mut self, now: Millis, ticket: Ticket) {
        self.cx.metrics.count_event("cancelled");
        if self.cx.cancel_run(ticket) {
            self.cx.metrics.end_work();
        }
        self.settle(
            now,
            ticket,
            Outcome::failed(ErrorKind::Cancelled, Ran::Unknown),
        );
        let actions = self.admission.cancel(now, ticket);
        self.apply_actions(now, actions);
    }

    /// Ensures that an attempt never starts, unless it has already, and replies whether it ran.
    pub(crate) fn on_bury(&mut self, now: Millis, from: &str, bury: &wire::Bury) {
        let Some(ticket) = bury.ticket.as_ref().and_then(wire::Ticket::to_ticket) else {
            return;
        };
        let submission = oleanderlock::submission::Submission {
            ticket,
            idempotent: bury.idempotent,
            deadline: Millis(bury.deadline_ms),
            horizon: Millis(bury.horizon_ms),
            fingerprint: bury.fingerprint,
        };
        let reply = self.ledger.bury(now, &submission);
        request_log::buried(ticket, reply.ran);
        // The attempt may be queued under the ticket of another call with the same key.
        let queued = self.active_ticket(ticket).filter(|_| reply.dequeued);
        if let Some(queued) = queued {
            self.settle(now, queued, Outcome::failed(ErrorKind::Cancelled, Ran::No));
            let actions = self.admission.cancel(now, queued);
            self.apply_actions(now, actions);
        }
        let ran = wire::Ran::from(reply.ran).into();
        self.cx.send(
            from,
            Body::Buried(wire::Buried {
                ticket: Some(ticket.into()),
                ran,
            }),
        );
    }
}
