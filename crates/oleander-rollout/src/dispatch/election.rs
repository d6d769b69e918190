//! Leader election: winning an epoch, recovering the state from the store, handing over.

use super::dispatcher::Dispatcher;
use super::leader_checks::LeaderChecks;
use super::leadership_state::LeadershipState;
use super::state::State;
use super::{checkpoints, cleanup, commit, history, jobs, leader_checks, retire, succession};
use crate::prelude::*;
use crate::registry::registration::keep_registered;
use crate::registry::sweep::Sweep;
use crate::store::dispatcher_object::DISPATCHER_KIND;
use crate::store::leader_object::{LEADER_NAME, LeaderObject};
use crate::store::pulse::{PULSE_KIND, PULSE_NAME, Pulse};
use crate::store::store_error::StoreError;
use crate::store::view::View;
use futures_util::future::join4;
use oleanderlock::batch::leader_watch::LeaderWatch;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::batch::unreached_leader::HEARD_WITHIN;
use oleanderlock::dispatchers::candidacy::candidacy_delay;
use serde_json::value::to_raw_value;
use std::rc::Rc;

/// Time between two probes of the leader.
const PROBE_EVERY: Millis = Millis(500);
/// Shortest pause before the next probe, if the last one and reading the pulse took long.
const PROBE_PAUSE_MIN: Millis = Millis(50);
/// Pause between two checks of the leadership: of a leader whether it must step down, of a standby
/// whether it may try to lead.
const LEADERSHIP_CHECK_EVERY: Millis = Millis(200);
/// Time between two pulses of a leader.
const PULSE_EVERY: Millis = Millis(800);
/// Time without a report of any agent after which a leader that had agents hands over.
const AGENT_SILENCE_MAX: Millis = Millis(3000);
/// Time for which a dispatcher does not try to lead after it handed over for lack of reports.
const CANDIDACY_PAUSE: Millis = Millis(5000);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Millis = Millis(200);

/// Listed results take at most the memory of the process divided by this; they are encoded beside that.
const RESULTS_MEMORY_DIVISOR: usize = 4;
/// Time for which a dispatcher whose machine is to be retired leaves the leadership to others.
const RETIRING_DELAY: Millis = Millis(3000);

/// Registers this dispatcher, then leads or stands by until the process ends.
pub async fn run(dispatcher: Rc<Dispatcher>) {
    spawn(keep_registered(
        Rc::clone(&dispatcher.store),
        dispatcher.view.clone(),
        dispatcher.cfg.node.clone(),
        dispatcher.cfg.told,
    ));
    let mut watch = LeaderWatch::default();
    while !dispatcher.stopping.get() {
        let leadership = dispatcher.state.borrow().leadership;
        match leadership {
            LeadershipState::Standby => stand_by(&dispatcher, &mut watch).await,
            LeadershipState::Recovering { epoch } | LeadershipState::Leading { epoch } => {
                watch.reset();
                lead(&dispatcher, epoch).await;
            }
        }
    }
}

/// Probes the leader once, or takes over if there is none or it is lost.
async fn stand_by(dispatcher: &Rc<Dispatcher>, watch: &mut LeaderWatch) {
    let view = dispatcher.view.get();
    let node = &dispatcher.cfg.node;
    let paused = now() < dispatcher.paused_until.get();
    if !view.dispatchers_known || paused {
        sleep(LEADERSHIP_CHECK_EVERY).await;
        return;
    }
    let retiring = view.retiring.contains(node);
    if is_vacant(&view, node) {
        let led_before = view
            .leader
            .as_ref()
            .is_some_and(|(leader, _)| &leader.node == node);
        sleep(match (retiring, led_before) {
            (true, _) => RETIRING_DELAY,
            (false, true) => Millis::ZERO,
            (false, false) => candidacy_delay(node, view.dispatchers.keys().map(String::as_str)),
        })
        .await;
        let expected = dispatcher.view.get().leader.clone();
        if is_vacant(&dispatcher.view.get(), node) {
            take_over(dispatcher, expected, "there is no leader").await;
        }
        return;
    }
    let Some((leader, _)) = &view.leader else {
        return;
    };
    let began = now();
    let unreached_by = || {
        let unreached = dispatcher.unreached_leader.borrow();
        unreached.count(now(), leader.epoch)
    };
    let checks = LeaderChecks {
        client: &dispatcher.leader_client,
        store: &dispatcher.store,
    };
    if let Some(reason) = checks.reason_to_replace(leader, watch, unreached_by).await
        && !(retiring && others_take_over(dispatcher, view.leader.as_ref()).await)
    {
        // A failed takeover does not reset the count of missed probes, so that the standby tries
        // again after the next missed probe. The first write that the store accepts wins.
        take_over(dispatcher, view.leader.clone(), &reason).await;
    }
    let rest = PROBE_EVERY.0.saturating_sub(now().since(began).0);
    dispatcher
        .view
        .wait_until(Millis(rest.max(PROBE_PAUSE_MIN.0)), |current| {
            current.leader != view.leader
        })
        .await;
}

/// Leaves the leadership to dispatchers whose machines stay, for [`RETIRING_DELAY`]; returns whether
/// one of them has taken over from `lost`.
async fn others_take_over(dispatcher: &Dispatcher, lost: Option<&(LeaderObject, u64)>) -> bool {
    let has_changed = |view: &View| view.leader.as_ref() != lost;
    dispatcher
        .view
        .wait_until(RETIRING_DELAY, has_changed)
        .await;
    has_changed(&dispatcher.view.get())
}

/// Writes a pulse every [`PULSE_EVERY`] for as long as this dispatcher holds `epoch`.
async fn write_pulses(dispatcher: Rc<Dispatcher>, epoch: u64) {
    let mut number = rand::random::<u64>() >> 1;
    while dispatcher.state.borrow().leadership.epoch() == Some(epoch) {
        number += 1;
        let pulse = {
            let state = dispatcher.state.borrow();
            Pulse {
                epoch,
                number,
                needed_from: state.needed_from(),
                leads_ms: state.leads_since.map_or(0, |since| now().since(since).0),
                heard_agents: state.callers.heard_agents(now(), HEARD_WITHIN),
            }
        };
        let written = match to_raw_value(&pulse) {
            Ok(spec) => dispatcher.store.put(PULSE_KIND, PULSE_NAME, &spec).await,
            Err(err) => Err(StoreError::not_done(err)),
        };
        if let Err(err) = written {
            event(log::Level::Warn, "pulse-failed", || {
                format!("reason=\"{err}\"")
            });
        }
        sleep(PULSE_EVERY).await;
    }
}

/// Whether there is no leader, or the leader is this node from before a restart.
fn is_vacant(view: &View, node: &str) -> bool {
    let leader = view.leader.as_ref().map(|(leader, _)| leader);
    leader.is_none_or(|leader| leader.node.is_empty() || leader.node == node)
}

/// Tries to win the next epoch; fails if the leader object in the store is no longer `expected`, a
/// leader object with its revision.
async fn take_over(
    dispatcher: &Rc<Dispatcher>,
    expected: Option<(LeaderObject, u64)>,
    reason: &str,
) {
    let epoch = expected.as_ref().map_or(0, |(leader, _)| leader.epoch) + 1;
    let object = LeaderObject {
        epoch,
        node: dispatcher.cfg.node.clone(),
        addr: Some(dispatcher.cfg.told),
    };
    let written = write_leader(dispatcher, &object, expected.map(|(_, revision)| revision)).await;
    if let Err(err) = written {
        event(log::Level::Info, "take-over-failed", || {
            format!("epoch={epoch} reason=\"{reason}\" fault=\"{err}\"")
        });
        // If another dispatcher won, the watch on the store updates the leader in the view.
        sleep(STORE_RETRY_PAUSE).await;
        return;
    }
    event(log::Level::Warn, "took-over", || {
        format!("epoch={epoch} reason=\"{reason}\"")
    });
    dispatcher.full_view_gate.set(true);
    *dispatcher.state.borrow_mut() = State {
        leadership: LeadershipState::Recovering { epoch },
        scheduler: Scheduler::new(SchedulerConfig::default()),
        log: ResultLog::with_budget(dispatcher.cfg.memory_bytes / RESULTS_MEMORY_DIVISOR),
        ..State::default()
    };
    dispatcher.notify();
    // The stored pulse is still the previous leader's: this dispatcher has not written one yet.
    match leader_checks::read_pulse(&dispatcher.store).await {
        Ok(previous) => dispatcher.state.borrow_mut().read_from_chunk = previous.needed_from,
        Err(err) => leader_checks::log_pulse_unknown(0, &err),
    }
    spawn(write_pulses(Rc::clone(dispatcher), epoch));
}

/// Writes the leader object: creates it, or replaces the one with `revision`.
async fn write_leader(
    dispatcher: &Dispatcher,
    object: &LeaderObject,
    revision: Option<u64>,
) -> Result<(), StoreError> {
    let store = &dispatcher.store;
    let spec = to_raw_value(object).map_err(StoreError::not_done)?;
    let written = match revision {
        None => store.create(DISPATCHER_KIND, LEADER_NAME, &spec).await,
        Some(revision) => {
            store
                .replace(DISPATCHER_KIND, LEADER_NAME, revision, &spec)
                .await
        }
    };
    if !matches!(written, Err(StoreError::NoAnswer { .. })) {
        return written;
    }
    // The write may have taken effect; the stored object decides.
    let found = store.get(DISPATCHER_KIND, LEADER_NAME).await?;
    match found {
        Some(found) if found.spec.get() == spec.get() => Ok(()),
        _ => written,
    }
}

/// Recovers after winning an epoch, then checks once whether this dispatcher must step down.
async fn lead(dispatcher: &Rc<Dispatcher>, epoch: u64) {
    let recovering = dispatcher.state.borrow().leadership == LeadershipState::Recovering { epoch };
    if recovering {
        recover(dispatcher, epoch).await;
    }
    let view = dispatcher.view.get();
    if let Some(leader) = view.newer_leader(epoch) {
        dispatcher.step_down(&format!("{} leads in epoch {}", leader.node, leader.epoch));
        return;
    }
    if view.retiring.contains(&dispatcher.cfg.node) {
        if succession::has_successor(&dispatcher.leader_client, &view, &dispatcher.cfg.node).await {
            hand_over(dispatcher).await;
            return;
        }
        retire::report_running(dispatcher).await;
    }
    let last_report = dispatcher.state.borrow().last_report;
    if last_report.is_some_and(|at| now().since(at) > AGENT_SILENCE_MAX) {
        event(log::Level::Warn, "unheard", || {
            format!("reason=\"no reports from agents for {AGENT_SILENCE_MAX}\"")
        });
        dispatcher.paused_until.set(now().plus(CANDIDACY_PAUSE));
        hand_over(dispatcher).await;
        return;
    }
    sleep(LEADERSHIP_CHECK_EVERY).await;
}

/// Reads from the store what a leader needs: the configuration, all jobs, all results of the jobs that
/// have not ended, and the checkpoints of runs.
async fn recover(dispatcher: &Rc<Dispatcher>, epoch: u64) {
    let began = now();
    let read_from = dispatcher.state.borrow().read_from_chunk;
    let results = history::read_newest_chunks(dispatcher, epoch, read_from);
    let jobs = jobs::watch_and_read_all(dispatcher, epoch);
    let config = read_config(dispatcher, epoch);
    let (newest_chunks, (), (), checkpoints) =
        join4(results, jobs, config, checkpoints::read(dispatcher)).await;
    let mut state = dispatcher.state.borrow_mut();
    let Some(newest_chunks) =
        newest_chunks.filter(|_| state.leadership == (LeadershipState::Recovering { epoch }))
    else {
        return;
    };
    state.leadership = LeadershipState::Leading { epoch };
    state.leads_since = Some(now());
    state.log_verified_at = began;
    let (jobs, ended) = (state.jobs.len(), state.ended.len());
    if newest_chunks.has_older {
        state.jobs_with_unread_results = state.ended.clone();
    }
    checkpoints::restore(&mut state, checkpoints);
    drop(state);
    event(log::Level::Info, "leading", || {
        let took = now().since(began);
        let results = newest_chunks.result_count;
        format!(
            "epoch={epoch} jobs={jobs} ended={ended} results={results} from={read_from} took={took}"
        )
    });
    if let Some(duties) = &dispatcher.duties {
        let (leader, jobs) = (Rc::clone(dispatcher), Rc::clone(dispatcher));
        let batch_items = move || jobs.state.borrow().scheduler.unfinished_items();
        duties.start(move || leader.leads_in(epoch), batch_items);
    }
    spawn(commit::run(Rc::clone(dispatcher), epoch));
    spawn(checkpoints::run(Rc::clone(dispatcher), epoch));
    spawn(cleanup::run(Rc::clone(dispatcher), epoch));
    spawn(sweep(dispatcher, epoch).run());
    if newest_chunks.has_older {
        spawn(history::read_older(
            Rc::clone(dispatcher),
            epoch,
            newest_chunks.first_chunk.unwrap_or_default(),
        ));
    }
    dispatcher.notify();
}

/// Returns the sweep of the registered dispatchers in `epoch`.
fn sweep(
    dispatcher: &Rc<Dispatcher>,
    epoch: u64,
) -> Sweep<impl Fn() -> bool + use<>, impl Fn() -> bool + use<>> {
    let (leader, hearer) = (Rc::clone(dispatcher), Rc::clone(dispatcher));
    Sweep {
        node: dispatcher.cfg.node.clone(),
        client: Rc::clone(&dispatcher.leader_client),
        store: Rc::clone(&dispatcher.store),
        view: dispatcher.view.clone(),
        leads: move || leader.leads_in(epoch),
        is_heard: move || {
            let state = hearer.state.borrow();
            state.callers.heard_agents(now(), HEARD_WITHIN) > 0
        },
    }
}

/// Reads the configuration; retries until the store answers or this dispatcher no longer holds
/// `epoch`. Until then the terms of the jobs are not known, or are those of an earlier time at which
/// this dispatcher led.
async fn read_config(dispatcher: &Dispatcher, epoch: u64) {
    while jobs::holds_epoch(dispatcher, epoch) && !dispatcher.config_reader.read_now().await {
        if dispatcher.view.get().newer_leader(epoch).is_some() {
            return;
        }
        sleep(STORE_RETRY_PAUSE).await;
    }
}

/// Appends waiting results to the result log and gives up the epoch, so that another dispatcher can take over at once.
pub async fn hand_over(dispatcher: &Dispatcher) {
    let leadership = dispatcher.state.borrow().leadership;
    let (LeadershipState::Leading { epoch } | LeadershipState::Recovering { epoch }) = leadership
    else {
        return;
    };
    commit::flush(dispatcher, epoch).await;
    dispatcher.step_down("handing over");
    let stored = dispatcher.view.get().leader.clone();
    let Some((_, revision)) = stored.filter(|(leader, _)| leader.epoch == epoch) else {
        return;
    };
    let vacant = LeaderObject {
        epoch: epoch + 1,
        ..LeaderObject::default()
    };
    let written = write_leader(dispatcher, &vacant, Some(revision)).await;
    event(log::Level::Info, "handed-over", || {
        format!("epoch={epoch} result={written:?}")
    });
}
