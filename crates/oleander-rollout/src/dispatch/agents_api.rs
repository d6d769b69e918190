//! Calls of agents, and calls of entries for platform updates.

use super::dispatcher::Dispatcher;
use super::http_api::{to_json, unreadable};
use super::state::State;
use super::ticks::give_up;
use super::{checkpoints, platform_updates};
use crate::http::response::{self, FullResponse};
use crate::peer::messages::{
    ItemOutcomes, KnownVersions, PlatformUpdate, PullRequest, PullResponse, ReturnReason,
    ReturnedItem,
};
use crate::prelude::*;
use http::StatusCode;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::routing::caller_rank::CallerRank;
use smol::future::FutureExt as _;

/// Time since the last successful call to the store after which a leader sends no platform updates
/// to entries.
const STORE_AGE_MAX: Millis = Millis(2500);
/// Longest time that an agent waits for its results to be listed before it must send them again.
const LIST_WAIT: Millis = Millis(4000);
/// Time after which a caller that was refused may try again.
const RETRY_AFTER: Millis = Millis(100);

/// Takes the report of an agent; responds as soon as there is something for it, or with an empty
/// response after `wait`.
pub async fn pull(dispatcher: &Dispatcher, body: &[u8], wait: Millis) -> FullResponse {
    let arrived = now();
    let PullRequest {
        mut report,
        parts,
        caller_rank,
        demand,
    } = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(err) => return unreadable(&err),
    };
    let agent = report.agent.clone();
    if let Some(duties) = &dispatcher.duties {
        duties.take_demand(&agent, report.process, demand);
    }
    {
        let mut state = dispatcher.state.borrow_mut();
        state.last_report = Some(now());
        if state.callers.record_agent(&agent, now()) {
            dispatcher.notify();
        }
        let undelivered = state.outbox(&agent).work.iter();
        let undelivered: Vec<String> = undelivered.map(|work| work.key.to_string()).collect();
        report.items.extend(undelivered);
        let slots_before = state.scheduler.slots_of(&agent);
        let changes = state.scheduler.apply_report(now(), report.clone());
        if slots_before != Some(report.slots) {
            event(log::Level::Info, "agent-known", || {
                let (slots, weights) = (report.slots, &report.weights);
                format!(
                    "agent={agent} instance={} slots={slots} weights={weights:?}",
                    report.instance
                )
            });
        }
        for key in &changes.returned {
            event(log::Level::Warn, "item-lost", || {
                format!("request={} job={} agent={agent}", key.item, key.job)
            });
        }
        state.outbox(&agent).drop.extend(changes.drop);
        checkpoints::apply_report(&mut state, &report, parts);
    }
    dispatcher.schedule();
    let known = (caller_rank, arrived);
    let waited = within(wait, next_response(dispatcher, &report, known)).await;
    let response = waited.unwrap_or_else(|| {
        let mut state = dispatcher.state.borrow_mut();
        let update = platform_updates::for_agent(dispatcher, &mut state, &report, known);
        take_response(dispatcher, &mut state, &agent, (update, arrived))
    });
    to_json(&response)
}

/// Waits until there is something for an agent, and takes it from the outbox.
async fn next_response(
    dispatcher: &Dispatcher,
    report: &AgentReport,
    known: (Option<CallerRank>, Millis),
) -> PullResponse {
    loop {
        let changed = dispatcher.changed.listen();
        let filled;
        {
            let mut state = dispatcher.state.borrow_mut();
            filled = state.outbox(&report.agent).filled.listen();
            let update = platform_updates::for_agent(dispatcher, &mut state, report, known);
            if !state.outbox(&report.agent).is_empty() || !update.is_empty() {
                let update = (update, known.1);
                return take_response(dispatcher, &mut state, &report.agent, update);
            }
        }
        changed.or(filled).await;
    }
}

/// Returns a response with the contents of an agent's outbox, to a report that arrived at `arrived`. All
/// ends of jobs up to the time that it names are in it or in a response to another report before.
fn take_response(
    dispatcher: &Dispatcher,
    state: &mut State,
    agent: &str,
    (platform_update, arrived): (PlatformUpdate, Millis),
) -> PullResponse {
    PullResponse {
        platform_update,
        ends_confirmed_ms: dispatcher.ends_confirmation.relative_to(arrived),
        ..state.outbox(agent).take()
    }
}

/// Answers an entry as soon as there is an update for it or the configuration has been confirmed
/// again, or with an empty update when the age of its endpoints makes it necessary.
///
/// A leader that has had no recent answer from the store refuses the call, and the entry follows
/// the store itself.
pub async fn platform_updates(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let arrived = now();
    let known: KnownVersions = match serde_json::from_slice(body) {
        Ok(known) => known,
        Err(err) => return unreadable(&err),
    };
    let confirmation = dispatcher.config_reader.confirmation();
    let confirmed_at = confirmation.at();
    if !known.node.is_empty() {
        let mut state = dispatcher.state.borrow_mut();
        if state.callers.record_entry(&known.node, now()) {
            dispatcher.notify();
        }
    }
    let wait = async {
        loop {
            let listener = dispatcher.changed.listen();
            {
                let mut state = dispatcher.state.borrow_mut();
                let update = platform_updates::for_entry(dispatcher, &mut state, &known, arrived);
                let has_news = !update.is_empty() || confirmation.at() > confirmed_at;
                if has_news || state.leading_epoch().is_none() {
                    return update;
                }
            }
            listener.await;
        }
    };
    let update = within(dispatcher.freshness.limits.update_wait(), wait).await;
    let update = update.unwrap_or_else(|| {
        let mut state = dispatcher.state.borrow_mut();
        platform_updates::for_entry(dispatcher, &mut state, &known, arrived)
    });
    let stale = dispatcher.store.last_success_age() > STORE_AGE_MAX;
    if stale || dispatcher.state.borrow().leading_epoch().is_none() {
        return response::refusal(RETRY_AFTER);
    }
    if update.config.is_none() {
        return to_json(&update);
    }
    // Encoding 10,000 keys for each entry would keep this thread from all other work.
    smol::unblock(move || to_json(&update)).await
}

/// Takes results and returned items; responds with 200 once the results are listed in the store.
pub async fn take_outcomes(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let outcomes: ItemOutcomes = match serde_json::from_slice(body) {
        Ok(outcomes) => outcomes,
        Err(err) => return unreadable(&err),
    };
    let mut keys = Vec::new();
    {
        let mut state = dispatcher.state.borrow_mut();
        for sample in outcomes.samples {
            let key = sample.key.clone();
            if state.ended.contains(&key.job) || !state.jobs.contains_key(&key.job) {
                continue;
            }
            let given_up = sample.end == SampleEnd::GivenUp;
            let first = state.log.stage(sample);
            event(log::Level::Info, "result-taken", || {
                let agent = &outcomes.agent;
                format!(
                    "request={} job={} agent={agent} first={first} given_up={given_up}",
                    key.item, key.job
                )
            });
            state.finish(&key);
            keys.push(key);
        }
    }
    for item in outcomes.returned {
        requeue(dispatcher, &outcomes.agent, item);
    }
    dispatcher.schedule();
    if within(LIST_WAIT, wait_until_listed(dispatcher, &keys)).await == Some(true) {
        response::status(StatusCode::OK)
    } else {
        response::refusal(RETRY_AFTER)
    }
}

/// Waits until all items are listed; returns false when this dispatcher no longer leads.
async fn wait_until_listed(dispatcher: &Dispatcher, keys: &[ItemKey]) -> bool {
    loop {
        let changed = dispatcher.changed.listen();
        let listed = dispatcher.listed.listen();
        {
            let state = dispatcher.state.borrow();
            if state.leading_epoch().is_none() {
                return false;
            }
            let settled =
                |key: &ItemKey| state.ended.contains(&key.job) || state.log.is_listed(key);
            if keys.iter().all(settled) {
                return true;
            }
        }
        changed.or(listed).await;
    }
}

/// Takes back an item that an agent could not finish: it is assigned again, or given up after too
/// many failures of engines. A repeated message, as after a lost answer or while results can't be
/// listed, changes nothing.
fn requeue(dispatcher: &Dispatcher, agent: &str, item: ReturnedItem) {
    let mut state = dispatcher.state.borrow_mut();
    let ReturnedItem {
        key,
        reason,
        progress,
        id,
    } = item;
    let is_new = state.scheduler.record_return(agent, &key, id);
    event(log::Level::Info, "item-returned", || {
        let events = progress.as_ref().map_or(0, |progress| progress.last_event);
        let repeated = !is_new;
        format!(
            "request={} job={} agent={agent} reason={reason} events={events} id={id} repeated={repeated}",
            key.item, key.job
        )
    });
    if !is_new {
        return;
    }
    dispatcher.metrics.record_retry(&reason.to_string());
    if reason == ReturnReason::EngineFailed {
        let failures = state.scheduler.record_failure(&key, id);
        let attempts = state.scheduler.job(&key.job).map(|job| job.policy.attempts);
        if attempts.is_some_and(|attempts| failures >= attempts) {
            give_up(&mut state, key, "the engines failed too often");
            return;
        }
    }
    state.checkpoints.remove(&key);
    state.scheduler.return_item(agent, &key, progress);
}
