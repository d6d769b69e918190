//! Room in the token memory of the agent's engine.

use super::agent_process::Agent;
use super::held_item::HeldItem;
use super::state::State;
use crate::prelude::*;
use oleander_platform::token_count::prompt_tokens;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::pressure::token_room::{TokenRoom, tokens_needed};

/// Time after the start of a run until a report of the engine counts it for certain.
const REPORT_DELAY: Millis = Millis(500);

/// Returns the tokens that an item needs.
pub(super) fn needed(item: &JobItem) -> u64 {
    let prompt = prompt_tokens(&item.headers, item.tokens);
    tokens_needed(item.tokens, prompt, item.expected_tokens)
}

/// Returns the room in the engine's token memory; `None` if it is not bounded or its size is not
/// known.
pub(super) fn room(agent: &Agent, service: &str, state: &State) -> Option<TokenRoom> {
    if !agent.cfg.features.bounded_bytes {
        return None;
    }
    let view = agent.view.get();
    let config = view.routes.as_ref().map(|routes| &routes.config);
    let configured = config.and_then(|config| config.services.get(service)?.kv_tokens);
    let report = state.fresh_report();
    let reported = report.and_then(|report| report.tokens_total);
    let total = reported.into_iter().chain(configured).min()?;
    let reported_at = state.engine.as_ref().map(|(_, at)| *at);
    let used = report.and_then(|report| report.tokens_used);
    let running = state.items.values().filter(|item| item.run.is_some());
    let growth = running.map(|item| match (used, reported_at) {
        (Some(_), Some(at)) => growth_after(item, at),
        _ => needed(&item.work.item),
    });
    let growth: u64 = growth.sum();
    Some(TokenRoom::new(
        total,
        used.unwrap_or(0).saturating_add(growth),
    ))
}

/// Returns the tokens that a run will use beside those that a report at `reported_at` counts.
fn growth_after(item: &HeldItem, reported_at: Millis) -> u64 {
    let needed = needed(&item.work.item);
    if reported_at < item.started_at.plus(REPORT_DELAY) {
        return needed;
    }
    let work = &item.work;
    let prompt = prompt_tokens(&work.item.headers, work.item.tokens).unwrap_or(0);
    // An event carries about one token.
    let generated = work.progress.as_ref().map_or(0, |run| run.last_event);
    needed.saturating_sub(prompt.saturating_add(generated))
}
