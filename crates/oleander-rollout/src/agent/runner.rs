//! Starts waiting items while the engine has free slots.

use super::agent_process::Agent;
use super::reported_progress::ReportedProgress;
use super::run::run_or_return;
use super::token_memory;
use crate::peer::messages::{ReturnReason, ReturnedItem};
use crate::prelude::*;
use crate::runtime::spawn_task;
use oleanderlock::routing::placement::Placement;
use std::rc::Rc;

/// Longest pause after which the engine's rate limit is checked again.
const LIMIT_RETRY_PAUSE: Millis = Millis(1000);

/// Starts waiting items while the engine has free slots and its rate limit allows. Items of a model
/// whose weights are being loaded wait, and those whose route does not lead here until the leader
/// recalls them; those that need newer weights than the engine has are returned.
pub fn start_waiting(agent: &Rc<Agent>) {
    let Some(endpoint) = agent.ready_endpoint() else {
        return;
    };
    let mut has_too_old = false;
    {
        let mut state = agent.state.borrow_mut();
        let mut room = token_memory::room(agent, &endpoint.service, &state);
        let mut free = endpoint.slots.saturating_sub(state.running());
        for key in state.waiting() {
            if free == 0 {
                break;
            }
            let delay = agent.engine_delay(&endpoint);
            if delay != Some(Millis::ZERO) {
                start_after(agent, delay.unwrap_or(LIMIT_RETRY_PAUSE));
                break;
            }
            let name = key.to_string();
            let Some(item) = state.items.get(&name) else {
                continue;
            };
            let work = item.work.clone();
            let is_open = agent.job_checks.is_open(&key.job);
            if !is_open || agent.placement(&endpoint.service, &work) != Placement::Here {
                continue;
            }
            if state.loading.as_ref() == Some(&work.model) {
                continue;
            }
            match state.version_of(&work.model) {
                None => continue,
                Some(version) if version < work.oldest_version => {
                    has_too_old = true;
                    continue;
                }
                Some(_) => {}
            }
            if let Some(room) = &mut room {
                let need = token_memory::needed(&work.item);
                let passed_since = &mut state.items[&name].passed_since;
                if !room.start(now(), need, passed_since) {
                    if room.never_fits(need) && passed_since.is_none() {
                        // Once for each item.
                        *passed_since = Some(now());
                        event(log::Level::Warn, "item-too-large", || {
                            format!("item={name} tokens={need}")
                        });
                    }
                    continue;
                }
            }
            agent.reserve_request(&endpoint);
            let run = spawn_task(run_or_return(Rc::clone(agent), work));
            let item = &mut state.items[&name];
            item.run = Some(run);
            item.started_at = now();
            item.reported = ReportedProgress::of_new_run();
            free -= 1;
        }
    }
    if has_too_old {
        return_too_old(agent);
    }
}

/// Starts waiting items again after `delay`, when the engine's rate limit allows the next run.
fn start_after(agent: &Rc<Agent>, delay: Millis) {
    if agent.waits_for_limit.replace(true) {
        return;
    }
    let agent = Rc::clone(agent);
    spawn(async move {
        sleep(delay.min(LIMIT_RETRY_PAUSE)).await;
        agent.waits_for_limit.set(false);
        start_waiting(&agent);
    });
}

/// Returns the items that need newer weights than the engine has, as after a restart of the engine.
fn return_too_old(agent: &Agent) {
    let mut state = agent.state.borrow_mut();
    for key in state.waiting() {
        let Some(item) = state.items.get(&key.to_string()) else {
            continue;
        };
        let version = state.version_of(&item.work.model);
        let progress = item.work.progress.clone();
        if version.is_some_and(|version| version < item.work.oldest_version) {
            state.return_item(ReturnedItem::new(key, ReturnReason::TooOld, progress));
        }
    }
    drop(state);
    agent.notify();
}
