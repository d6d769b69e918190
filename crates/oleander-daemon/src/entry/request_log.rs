//! Log lines that follow one request across entry and agent by its id.
//!
//! All are made from `log` macros, which format nothing when their level is off.

use crate::agent::swap_outcome::SwapOutcome;
use crate::entry::attempt::Attempt;
use crate::entry::request::Request;
use crate::steps::step_name::StepName;
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;

/// Notes at an entry that a request begins.
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

/// Notes at an entry that an attempt went out.
pub fn sent(ticket: Ticket, agent: &str) {
    log::debug!(
        "event=sent request={} attempt={} agent={agent}",
        ticket.request,
        ticket.attempt
    );
}

/// Notes at an entry that a request ended.
pub fn answered(request: RequestId, outcome: &Outcome, attempts: u32, length: Millis) {
    log::debug!(
        "event=answered request={request} result={} ran={} attempts={attempts} length={}ms",
        result(outcome),
        outcome.ran,
        length.0
    );
}

/// Notes at an entry that nobody waits for a request any more.
pub fn caller_gone(request: RequestId) {
    log::debug!("event=caller-gone request={request}");
}

/// Notes at an entry which request makes a sample of a step.
pub fn sample(step: &StepName, slot: SlotKey, request: RequestId) {
    log::debug!(
        "event=sample-requested step={step} group={} index={} request={request}",
        slot.group,
        slot.index
    );
}

/// Notes at an agent that an attempt runs.
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

/// Notes at an agent that an attempt which ran ended.
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

/// Notes at an agent that an attempt was refused.
pub fn refused(ticket: Ticket, kind: ErrorKind, ran: Ran) {
    log::info!(
        "event=refused request={} attempt={} kind={kind} ran={ran}",
        ticket.request,
        ticket.attempt
    );
}

/// Notes at an agent that an attempt must never start, and whether it did before.
pub fn buried(ticket: Ticket, ran: Ran) {
    log::debug!(
        "event=buried request={} attempt={} ran={ran}",
        ticket.request,
        ticket.attempt
    );
}

/// Notes at an agent how a weight swap ended; after a failed one the engine's version is unknown.
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
