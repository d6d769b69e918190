//! What happens with time: silent agents, items that are kept too long, old objects.

use super::dispatcher::Dispatcher;
use super::state::State;
use super::{platform_updates, retire};
use crate::peer::messages::{LoadWork, WorkItem};
use crate::prelude::*;
use crate::store::job_objects::{JOB_END_KIND, JOB_KIND, RESULT_KIND, chunk_name};
use oleanderlock::batch::board_assign::Assignment;
use oleanderlock::batch::board_recall::{Recall, RecallReason};
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::sample::{Sample, SampleEnd};
use std::rc::Rc;

/// Time between two ticks.
const TICK: Millis = Millis(100);
/// Time between two looks for objects that are no longer needed.
const CLEAN_EVERY: Millis = Millis::from_secs(10);
/// Time after which results are no longer readable until their objects are deleted.
const CLEAN_MARGIN: Millis = Millis::from_secs(60);
/// Objects that are deleted at a time.
const CLEAN_MAX: usize = 20;
/// Scoring calls of an item when its job is not known.
const SCORE_ATTEMPTS_DEFAULT: u32 = 3;

/// Ticks until the process ends.
pub async fn run(dispatcher: Rc<Dispatcher>) {
    let mut next_clean = now().plus(CLEAN_EVERY);
    while !dispatcher.stopping.get() {
        sleep(TICK).await;
        if dispatcher.state.borrow().leading_epoch().is_none() {
            continue;
        }
        drop_silent(&dispatcher);
        publish_updates(&dispatcher);
        recall(&dispatcher);
        give_up_old(&dispatcher);
        dispatcher.pump();
        retire::run(&dispatcher).await;
        if now() >= next_clean {
            next_clean = now().plus(CLEAN_EVERY);
            clean(&dispatcher).await;
        }
    }
}

impl Dispatcher {
    /// Assigns what waits, and wakes the agents that have something to take.
    pub fn pump(&self) {
        let mut state = self.state.borrow_mut();
        if state.leading_epoch().is_none() {
            return;
        }
        for (model, version) in &self.view.get().versions {
            state.board.want(model, *version);
        }
        let now = now();
        for assignment in state.board.assign(now) {
            put_work(&mut state, assignment);
        }
        for grant in state.board.plan_loads(now) {
            event(log::Level::Info, "load-granted", || {
                format!(
                    "agent={} model={} version={}",
                    grant.agent, grant.model, grant.version
                )
            });
            state.outbox(&grant.agent).load = Some(LoadWork {
                model: grant.model,
                version: grant.version,
            });
        }
        let waiting = state.outboxes.values().any(|outbox| !outbox.is_empty());
        let listing = state.log.has_waiting();
        drop(state);
        if waiting || listing {
            self.notify();
        }
    }
}

fn put_work(state: &mut State, assignment: Assignment) {
    let Assignment {
        agent,
        key,
        item,
        progress,
    } = assignment;
    event(log::Level::Info, "item-assigned", || {
        let from = progress.as_ref().map_or(0, |made| made.last_event);
        format!(
            "request={} job={} agent={agent} from_event={from}",
            key.item, key.job
        )
    });
    let Some(job) = state.board.job(&key.job) else {
        return;
    };
    let work = WorkItem {
        host: job.host.clone(),
        model: job.model.clone(),
        oldest_version: job.oldest_version,
        single_version: job.terms.single_version,
        score_attempts: job.terms.attempts.max(SCORE_ATTEMPTS_DEFAULT),
        key,
        item,
        progress,
    };
    state.outbox(&agent).work.push(work);
}

/// Wakes waiting agents and entries when the configuration or the endpoints have changed.
fn publish_updates(dispatcher: &Dispatcher) {
    let changed = platform_updates::refresh(dispatcher, &mut dispatcher.state.borrow_mut());
    if changed {
        dispatcher.notify();
    }
}

/// Recalls items that should move to another engine.
fn recall(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    for recall in state.board.recalls(now()) {
        let Recall { agent, key, reason } = recall;
        let name = key.to_string();
        let outbox = state.outbox(&agent);
        let list = match reason {
            RecallReason::SlowEngine | RecallReason::Load => &mut outbox.recall,
            RecallReason::NoSlot => &mut outbox.recall_waiting,
        };
        if list.contains(&name) {
            continue;
        }
        list.push(name);
        event(log::Level::Info, "item-recalled", || {
            let reason: &str = reason.into();
            let (item, job) = (&key.item, &key.job);
            format!("request={item} job={job} agent={agent} reason={reason}")
        });
    }
}

fn drop_silent(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    for agent in state.board.drop_silent(now()) {
        state.outboxes.swap_remove(&agent);
        state.checkpoints.remove_agent(&agent);
        event(log::Level::Warn, "agent-lost", || format!("agent={agent}"));
        dispatcher.metrics.count("agent_lost");
    }
}

/// Gives up the items of jobs that are kept for too long.
fn give_up_old(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    let now = now();
    let old = state
        .board
        .jobs()
        .filter(|job| !job.ended && now.since(job.submitted) > job.terms.keep);
    let keys: Vec<ItemKey> = old.flat_map(|job| job.unfinished()).collect();
    for key in keys {
        give_up(&mut state, key, "kept too long");
        dispatcher.metrics.refused("kept-too-long");
    }
}

/// Lists an item as given up.
pub fn give_up(state: &mut State, key: ItemKey, reason: &str) {
    event(log::Level::Warn, "item-given-up", || {
        format!("request={} job={} reason=\"{reason}\"", key.item, key.job)
    });
    state.finish(&key);
    state.log.stage(Sample {
        key,
        end: SampleEnd::GivenUp,
    });
}

/// Deletes objects of jobs whose results need not be readable any more.
async fn clean(dispatcher: &Dispatcher) {
    let unix_ms = u64::try_from(unix_ms()).unwrap_or_default();
    let keep = dispatcher.cfg.keep_results.plus(CLEAN_MARGIN).0;
    let is_old = |at: u64| at.saturating_add(keep) < unix_ms;
    let (jobs, chunks) = {
        let state = dispatcher.state.borrow();
        let jobs = state.jobs.iter();
        let jobs = jobs
            .filter(|(id, job)| is_old(job.submitted_unix_ms) && state.ended.contains(id.as_str()));
        let jobs: Vec<String> = jobs.take(CLEAN_MAX).map(|(id, _)| id.clone()).collect();
        // The newest chunk stays, so that the numbers go on from it.
        let newest = state.log.next_index().saturating_sub(1);
        let chunks = state.chunks.iter();
        let chunks = chunks.filter(|(index, at)| is_old(**at) && **index < newest);
        let chunks: Vec<u64> = chunks.take(CLEAN_MAX).map(|(index, _)| *index).collect();
        (jobs, chunks)
    };
    for id in jobs {
        // A job without its end would begin anew.
        let mut deleted = dispatcher.store.delete(JOB_KIND, &id).await;
        if deleted.is_ok() {
            deleted = dispatcher.store.delete(JOB_END_KIND, &id).await;
        }
        if deleted.is_ok() {
            let mut state = dispatcher.state.borrow_mut();
            state.jobs.shift_remove(&id);
            state.ended.shift_remove(&id);
            state.board.forget(&id);
            state.log.forget(&id);
        }
    }
    for index in chunks {
        let name = chunk_name(index);
        if dispatcher.store.delete(RESULT_KIND, &name).await.is_ok() {
            dispatcher.state.borrow_mut().chunks.shift_remove(&index);
        }
    }
}
