//! Periodic work of the leader: assigning items, dropping silent agents, giving up items that are
//! too old.

use super::dispatcher::Dispatcher;
use super::state::State;
use super::{jobs, platform_updates, retire};
use crate::peer::messages::{LoadWork, WorkItem};
use crate::prelude::*;
use oleanderlock::batch::assignment::Assignment;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::recall::Recall;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::pressure::lag_meter::{LagChange, LagMeter};
use std::rc::Rc;

/// Time between two ticks.
const TICK: Millis = Millis(100);
/// Fewest scoring attempts of an item, whatever its route allows.
const SCORE_ATTEMPTS_MIN: u32 = 3;

/// Time without a route after which the items of a job are given up. The configuration may be taken back
/// within a moment; a trainer that waits for items which never run gives up much later.
const ROUTE_END_GRACE: Millis = Millis(2000);

/// Does the periodic work until the process stops.
pub async fn run(dispatcher: Rc<Dispatcher>) {
    let mut lag = LagMeter::default();
    while !dispatcher.stopping.get() {
        let due = now().plus(TICK);
        sleep(TICK).await;
        record_lag(&dispatcher, &mut lag, now().since(due));
        if dispatcher.state.borrow().leading_epoch().is_none() {
            continue;
        }
        drop_silent_agents(&dispatcher);
        publish_updates(&dispatcher);
        recall_items(&dispatcher);
        give_up_expired(&dispatcher);
        give_up_without_route(&dispatcher);
        dispatcher.schedule();
        retire::run(&dispatcher).await;
    }
}

/// Records by how much a tick was late; logs when this process gets too little processor time, and when it
/// gets enough again.
fn record_lag(dispatcher: &Dispatcher, meter: &mut LagMeter, lag: Millis) {
    let change = meter.record(lag);
    dispatcher.metrics.set_lag(meter.mean());
    let (kind, level) = match change {
        Some(LagChange::Late) => ("timers-late", log::Level::Warn),
        Some(LagChange::InTime) => ("timers-in-time", log::Level::Info),
        None => return,
    };
    event(level, kind, || format!("lag={}", meter.mean()));
}

impl Dispatcher {
    /// Assigns waiting items and loads of weights to agents, and wakes those that there is something
    /// for.
    pub fn schedule(&self) {
        let mut state = self.state.borrow_mut();
        if state.leading_epoch().is_none() {
            return;
        }
        jobs::refresh_policies(self, &mut state);
        for (model, version) in &self.view.get().versions {
            state.scheduler.set_target_version(model, *version);
        }
        let now = now();
        for assignment in state.scheduler.assign(now) {
            queue_assignment(&mut state, assignment);
        }
        for grant in state.scheduler.plan_loads(now) {
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
        for (service, sets) in state.scheduler.take_resized_sets() {
            event(log::Level::Info, "engine-sets", || {
                let service = service.as_deref().unwrap_or_default();
                format!("service={service} engines={:?}", sets.sizes())
            });
        }
        let filled = state.outboxes.values().filter(|outbox| !outbox.is_empty());
        for outbox in filled {
            outbox.filled.notify(usize::MAX);
        }
        if state.log.has_unlisted() {
            self.staged.notify(usize::MAX);
        }
    }
}

/// Puts an assigned item into the outbox of its agent.
fn queue_assignment(state: &mut State, assignment: Assignment) {
    let Assignment {
        agent,
        key,
        item,
        progress,
    } = assignment;
    event(log::Level::Info, "item-assigned", || {
        let from = progress.as_ref().map_or(0, |progress| progress.last_event);
        format!(
            "request={} job={} agent={agent} from_event={from}",
            key.item, key.job
        )
    });
    let Some(job) = state.scheduler.job(&key.job) else {
        return;
    };
    let work = WorkItem {
        host: job.host.clone(),
        job_path: job.path.clone(),
        model: job.model.clone(),
        oldest_version: job.oldest_version,
        single_version: job.policy.single_version,
        score_attempts: job.policy.attempts.max(SCORE_ATTEMPTS_MIN),
        key,
        workspace: job.workspace.clone(),
        rank: job.policy.workspace_rank,
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
fn recall_items(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    jobs::refresh_policies(dispatcher, &mut state);
    for recall in state.scheduler.recalls(now()) {
        let Recall { agent, key, reason } = recall;
        let name = key.to_string();
        let outbox = state.outbox(&agent);
        let list = match reason {
            RecallReason::SlowEngine | RecallReason::Straggler => &mut outbox.recall,
            RecallReason::NoSlot | RecallReason::OtherService => &mut outbox.recall_waiting,
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

/// Drops agents that no longer report; their items go to other agents.
fn drop_silent_agents(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    for agent in state.scheduler.remove_silent_agents(now()) {
        state.outboxes.swap_remove(&agent);
        state.checkpoints.remove_agent(&agent);
        event(log::Level::Warn, "agent-lost", || format!("agent={agent}"));
        dispatcher.metrics.count_event("agent_lost");
    }
}

/// Gives up the unfinished items of jobs that are older than their route keeps them.
fn give_up_expired(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    let now = now();
    let old = state
        .scheduler
        .open_jobs()
        .filter(|job| now.since(job.kept_from) > job.policy.keep);
    let keys: Vec<ItemKey> = old.flat_map(|job| job.unfinished()).collect();
    for key in keys {
        give_up(&mut state, key, "kept too long");
        dispatcher.metrics.record_refusal("kept-too-long");
    }
}

/// Gives up the items of jobs whose route was removed, except those that run. A route that comes back within
/// [`ROUTE_END_GRACE`] is not an end, and while the store doesn't answer nobody knows whether it has.
fn give_up_without_route(dispatcher: &Dispatcher) {
    if dispatcher.store.last_success_age() > ROUTE_END_GRACE {
        return;
    }
    let mut state = dispatcher.state.borrow_mut();
    let now = now();
    let is_over = |since: Millis| now.since(since) > ROUTE_END_GRACE;
    let open = state.scheduler.open_jobs();
    let ended = open.filter(|job| job.route_gone_since.is_some_and(is_over));
    let keys: Vec<ItemKey> = ended.flat_map(|job| job.idle(now)).collect();
    for key in keys {
        give_up(&mut state, key, "its route was removed");
        dispatcher.metrics.record_refusal("route-removed");
    }
}

/// Ends an item without a result: it is listed as given up.
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
