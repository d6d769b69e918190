//! Log lines that trace a request by its id through entry and agent.
//!
//! The `log` macros format nothing while their level is off, so a line costs little then.

use crate::agent::swap_outcome::SwapOutcome;
use crate::entry::attempt::Attempt;
use crate::entry::request::Request;
use crate::steps::step_name::StepName;
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;

/// Logs at an entry that a request begins.
pub fn accepted(req: &Request) {
    log::debug!(
        "event=accepted request={} target={} class={} kind={} idempotent={}",
        req.spec.id,
        String::from_utf8_lossy(&req.target),
        req.class,
        req.kind,
        req.spec.idempotent
    );
}

/// Logs at an entry that an attempt was sent to an agent.
pub fn sent(ticket: Ticket, agent: &str) {
    log::debug!(
        "event=sent request={} attempt={} agent={agent}",
        ticket.request,
        ticket.attempt
    );
}

/// Logs at an entry that a request ended; `length` is the time since it began.
pub fn answered(request: RequestId, outcome: &Outcome, attempts: u32, length: Millis) {
    log::debug!(
        "event=answered request={request} result={} ran={} attempts={attempts} length={}ms",
        result(outcome),
        outcome.ran,
        length.0
    );
}

/// Logs at an entry that a request was dropped before its end, since its caller is gone.
pub fn caller_gone(request: RequestId) {
    log::debug!("event=caller-gone request={request}");
}

/// Logs at an entry which request generates a sample of a step.
pub fn sample(step: &StepName, slot: SlotKey, request: RequestId) {
    log::debug!(
        "event=sample-requested step={step} group={} index={} request={request}",
        slot.group,
        slot.index
    );
}

/// Logs at an agent that an attempt starts to run.
pub fn started(attempt: &Attempt) {
    let ticket = attempt.ticket();
    log::debug!(
        "event=started request={} attempt={} target={} class={}",
        ticket.request,
        ticket.attempt,
        attempt.target,
        String::from_utf8_lossy(&attempt.class)
    );
}

/// Logs at an agent that a running attempt ended.
pub fn finished(ticket: Ticket, outcome: &Outcome) {
    log::debug!(
        "event=finished request={} attempt={} result={} ran={} tokens={}",
        ticket.request,
        ticket.attempt,
        result(outcome),
        outcome.ran,
        outcome.total
    );
}

/// Logs at an agent that an attempt was refused; `ran` is whether its work ran.
pub fn refused(ticket: Ticket, kind: ErrorKind, ran: Ran) {
    log::info!(
        "event=refused request={} attempt={} kind={kind} ran={ran}",
        ticket.request,
        ticket.attempt
    );
}

/// Logs at an agent that an attempt must never start; `ran` is whether it had started before.
pub fn buried(ticket: Ticket, ran: Ran) {
    log::debug!(
        "event=buried request={} attempt={} ran={ran}",
        ticket.request,
        ticket.attempt
    );
}

/// Logs at an agent how a weight swap ended; after a failed swap the engine's version is unknown.
pub fn swapped(version: Version, end: SwapOutcome) {
    match end {
        SwapOutcome::Loaded => log::info!("event=swap version={version} end=loaded"),
        SwapOutcome::OldFence => log::warn!("event=swap version={version} end=old-fence"),
        SwapOutcome::Unknown => log::warn!("event=swap version={version} end=unknown"),
    }
}

fn result(outcome: &Outcome) -> &'static str {
    outcome.error.map_or("ok", <&str>::from)
}
