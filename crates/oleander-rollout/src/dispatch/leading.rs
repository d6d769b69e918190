//! Who leads: winning an epoch, reading what the store holds, handing over.

use super::dispatcher::Dispatcher;
use super::leadership_state::LeadershipState;
use super::state::State;
use super::{checkpoints, commit, history, jobs};
use crate::peer::messages::{DispatcherHealth, HEALTH};
use crate::prelude::*;
use crate::store::leader_object::{
    DISPATCHER_KIND, DispatcherObject, LEADER_NAME, LeaderObject, NODE_PREFIX, PULSE_KIND,
    PULSE_NAME, Pulse,
};
use crate::store::store_error::StoreError;
use crate::store::view::View;
use futures_util::future::join3;
use http::Method;
use oleander_platform::object::StoredObject;
use oleanderlock::batch::board::Board;
use oleanderlock::batch::board_config::BoardConfig;
use oleanderlock::batch::leadership::{LeaderProbe, LeaderWatch, PulseVerdict};
use serde_json::value::to_raw_value;
use std::rc::Rc;

/// Time between two probes of the leader.
const PROBE_EVERY: Millis = Millis(500);
/// Longest wait for the answer to a probe.
const PROBE_LIMIT: Millis = Millis(400);
/// Longest wait for the leader's pulse; a slow store takes 0.3 s.
const PULSE_LIMIT: Millis = Millis(700);
/// Shortest pause before the next probe, when the last one and the look for the pulse took long.
const PAUSE_MIN: Millis = Millis(50);
/// Time between two checks of a leader whether it still leads.
const CHECK_EVERY: Millis = Millis(200);
/// Time between two pulses of a leader.
const PULSE_EVERY: Millis = Millis(800);
/// Time without a report of any agent after which a leader that had some hands over.
const UNHEARD_MAX: Millis = Millis(3000);
/// Time for which a dispatcher that handed over so does not try to lead.
const UNHEARD_PAUSE: Millis = Millis(5000);
/// Pause after the store failed.
const STORE_PAUSE: Millis = Millis(200);
/// Head start of each standby over the next when nobody leads.
const RANK_PAUSE: Millis = Millis(120);

/// Registers this dispatcher, then leads or stands by until the process ends.
pub async fn run(dispatcher: Rc<Dispatcher>) {
    spawn(register(Rc::clone(&dispatcher)));
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

/// Writes where this dispatcher is.
async fn register(dispatcher: Rc<Dispatcher>) {
    let name = format!("{NODE_PREFIX}{}", dispatcher.cfg.node);
    let addr = dispatcher.cfg.told;
    let spec = match to_raw_value(&DispatcherObject { addr }) {
        Ok(spec) => spec,
        Err(err) => {
            event(log::Level::Error, "register-failed", || {
                format!("reason=\"{err}\"")
            });
            return;
        }
    };
    loop {
        let store = &dispatcher.store;
        let written = match store.create(DISPATCHER_KIND, &name, &spec).await {
            Err(StoreError::Conflict) => match store.get(DISPATCHER_KIND, &name).await {
                Ok(Some(object)) if object.spec.get() == spec.get() => Ok(()),
                Ok(Some(object)) => {
                    let revision = object.revision;
                    store.replace(DISPATCHER_KIND, &name, revision, &spec).await
                }
                Ok(None) => Err(StoreError::Conflict),
                Err(err) => Err(err),
            },
            other => other,
        };
        match written {
            Ok(()) => return,
            Err(err) => event(log::Level::Warn, "register-failed", || {
                format!("reason=\"{err}\"")
            }),
        }
        sleep(STORE_PAUSE).await;
    }
}

async fn stand_by(dispatcher: &Rc<Dispatcher>, watch: &mut LeaderWatch) {
    let view = dispatcher.view.get();
    let node = &dispatcher.cfg.node;
    let paused = now() < dispatcher.paused_until.get();
    if !view.dispatchers_known || view.retiring.contains(node) || paused {
        sleep(CHECK_EVERY).await;
        return;
    }
    if is_vacant(&view, node) {
        let rank = view
            .dispatchers
            .keys()
            .filter(|other| *other < node)
            .count() as u64;
        let own = view
            .leader
            .as_ref()
            .is_some_and(|(leader, _)| &leader.node == node);
        sleep(Millis(if own { 0 } else { RANK_PAUSE.0 * rank })).await;
        let known = dispatcher.view.get().leader.clone();
        if is_vacant(&dispatcher.view.get(), node) {
            take_over(dispatcher, known, "nobody leads").await;
        }
        return;
    }
    let Some((leader, _)) = &view.leader else {
        return;
    };
    let began = now();
    let answer = probe(dispatcher, leader).await;
    if watch.probed(now(), answer) && is_lost(dispatcher, leader, watch).await {
        // The count goes on after a failed try, so that the first write that the store takes wins.
        let reason = format!("{answer:?} misses={}", watch.misses());
        take_over(dispatcher, view.leader.clone(), &reason).await;
    }
    let rest = PROBE_EVERY.0.saturating_sub(now().since(began).0);
    dispatcher
        .view
        .wait_until(Millis(rest.max(PAUSE_MIN.0)), |now| {
            now.leader != view.leader
        })
        .await;
}

/// Looks for the pulse of a leader that missed a probe; returns whether to take over.
async fn is_lost(dispatcher: &Dispatcher, leader: &LeaderObject, watch: &mut LeaderWatch) -> bool {
    let number = match read_pulse(dispatcher).await {
        Ok(pulse) => pulse.number,
        Err(err) => {
            pulse_unknown(watch.misses(), &err);
            return false;
        }
    };
    let verdict = watch.saw_pulse(now(), number);
    event(log::Level::Info, "pulse-read", || {
        format!(
            "misses={} number={number} verdict={verdict:?}",
            watch.misses()
        )
    });
    match verdict {
        PulseVerdict::Wait => false,
        PulseVerdict::ProbeAgain => {
            let answer = probe(dispatcher, leader).await;
            watch.probed(now(), answer);
            !matches!(answer, LeaderProbe::Leading { .. })
        }
        PulseVerdict::TakeOver => true,
    }
}

/// Reads the leader's pulse.
async fn read_pulse(dispatcher: &Dispatcher) -> Result<Pulse, StoreError> {
    let look = dispatcher.store.get(PULSE_KIND, PULSE_NAME);
    let found = within(PULSE_LIMIT, look).await;
    let found = found.unwrap_or_else(|| Err(StoreError::no_answer("timeout")))?;
    Ok(decode_pulse(found))
}

fn pulse_unknown(misses: u32, err: &StoreError) {
    event(log::Level::Info, "pulse-unknown", || {
        format!("misses={misses} reason=\"{err}\"")
    });
}

/// Returns a pulse; that with all numbers 0 stands for none and for one that can't be read.
fn decode_pulse(found: Option<StoredObject>) -> Pulse {
    let Some(object) = found else {
        return Pulse::default();
    };
    serde_json::from_str(object.spec.get()).unwrap_or_else(|err| {
        event(log::Level::Warn, "pulse-unreadable", || {
            format!("reason=\"{err}\"")
        });
        Pulse::default()
    })
}

/// Writes a pulse now and then for as long as this dispatcher stands in `epoch`.
async fn beat(dispatcher: Rc<Dispatcher>, epoch: u64) {
    let mut number = rand::random::<u64>() >> 1;
    while dispatcher.state.borrow().leadership.epoch() == Some(epoch) {
        number += 1;
        let needed_from = dispatcher.state.borrow().needed_from();
        let pulse = Pulse {
            epoch,
            number,
            needed_from,
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

/// Whether nobody leads, or this node did before it was restarted.
fn is_vacant(view: &View, node: &str) -> bool {
    let leader = view.leader.as_ref().map(|(leader, _)| leader);
    leader.is_none_or(|leader| leader.node.is_empty() || leader.node == node)
}

async fn probe(dispatcher: &Dispatcher, leader: &LeaderObject) -> LeaderProbe {
    let Some(addr) = leader.addr else {
        return LeaderProbe::NoAnswer;
    };
    let client = &dispatcher.leader_client;
    let answer = client
        .call_at(addr, Method::GET, HEALTH, Vec::new(), PROBE_LIMIT)
        .await;
    let Ok((_, body)) = answer else {
        return LeaderProbe::NoAnswer;
    };
    let Ok(health) = serde_json::from_slice::<DispatcherHealth>(&body) else {
        return LeaderProbe::NoAnswer;
    };
    if !health.leads || health.epoch < leader.epoch {
        return LeaderProbe::NotLeading;
    }
    LeaderProbe::Leading {
        store_age: Millis(health.store_age_ms),
    }
}

/// Tries to win the next epoch, on the condition that the leader is still the one that was judged.
async fn take_over(dispatcher: &Rc<Dispatcher>, known: Option<(LeaderObject, u64)>, reason: &str) {
    let epoch = known.as_ref().map_or(0, |(leader, _)| leader.epoch) + 1;
    let object = LeaderObject {
        epoch,
        node: dispatcher.cfg.node.clone(),
        addr: Some(dispatcher.cfg.told),
    };
    let won = write_leader(dispatcher, &object, known.map(|(_, revision)| revision)).await;
    if let Err(err) = won {
        event(log::Level::Info, "take-over-failed", || {
            format!("epoch={epoch} reason=\"{reason}\" fault=\"{err}\"")
        });
        // What won instead arrives with the watch.
        sleep(STORE_PAUSE).await;
        return;
    }
    event(log::Level::Warn, "took-over", || {
        format!("epoch={epoch} reason=\"{reason}\"")
    });
    dispatcher.leading.set(true);
    *dispatcher.state.borrow_mut() = State {
        leadership: LeadershipState::Recovering { epoch },
        board: Board::new(BoardConfig::default()),
        ..State::default()
    };
    dispatcher.notify();
    // The pulse of the leader before, until the first own one takes its place.
    match read_pulse(dispatcher).await {
        Ok(before) => dispatcher.state.borrow_mut().read_from = before.needed_from,
        Err(err) => pulse_unknown(0, &err),
    }
    spawn(beat(Rc::clone(dispatcher), epoch));
}

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
    // The write may have taken effect.
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
        hand_over(dispatcher).await;
        return;
    }
    let heard = dispatcher.state.borrow().agent_heard;
    if heard.is_some_and(|at| now().since(at) > UNHEARD_MAX) {
        event(log::Level::Warn, "unheard", || {
            "reason=\"no agent reports any more\"".to_owned()
        });
        dispatcher.paused_until.set(now().plus(UNHEARD_PAUSE));
        hand_over(dispatcher).await;
        return;
    }
    sleep(CHECK_EVERY).await;
}

/// Reads what a leader must know: all jobs, and all results of those that have not ended.
async fn recover(dispatcher: &Rc<Dispatcher>, epoch: u64) {
    let began = now();
    let read_from = dispatcher.state.borrow().read_from;
    let results = history::read_newest(dispatcher, epoch, read_from);
    let known = jobs::follow_until_known(dispatcher, epoch);
    let (newest, (), checkpoints) = join3(results, known, checkpoints::read(dispatcher)).await;
    let mut state = dispatcher.state.borrow_mut();
    let Some(newest) =
        newest.filter(|_| state.leadership == (LeadershipState::Recovering { epoch }))
    else {
        return;
    };
    state.leadership = LeadershipState::Leading { epoch };
    state.verified = began;
    let (jobs, ended) = (state.jobs.len(), state.ended.len());
    if newest.has_older {
        state.unread = state.ended.clone();
    }
    checkpoints::restore(&mut state, checkpoints);
    drop(state);
    event(log::Level::Info, "leading", || {
        let took = now().since(began);
        let results = newest.results;
        format!(
            "epoch={epoch} jobs={jobs} ended={ended} results={results} from={read_from} took={took}"
        )
    });
    spawn(commit::run(Rc::clone(dispatcher), epoch));
    spawn(checkpoints::run(Rc::clone(dispatcher), epoch));
    if newest.has_older {
        spawn(history::read_older(
            Rc::clone(dispatcher),
            epoch,
            newest.first,
        ));
    }
    dispatcher.notify();
}

/// Lets another dispatcher take over at once.
pub async fn hand_over(dispatcher: &Dispatcher) {
    let leadership = dispatcher.state.borrow().leadership;
    let (LeadershipState::Leading { epoch } | LeadershipState::Recovering { epoch }) = leadership
    else {
        return;
    };
    commit::flush(dispatcher, epoch).await;
    dispatcher.step_down("handing over");
    let known = dispatcher.view.get().leader.clone();
    let Some((_, revision)) = known.filter(|(leader, _)| leader.epoch == epoch) else {
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
