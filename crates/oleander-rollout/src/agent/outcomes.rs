//! Sends results and returned items to the leading dispatcher, until it has recorded them.

use super::agent_process::Agent;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{ItemOutcomes, OUTCOMES, ReturnedItem};
use crate::prelude::*;
use http::{Method, StatusCode};
use oleanderlock::batch::sample::Sample;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// Delay after a result, so that several are sent together.
const BATCH_DELAY: Millis = Millis(30);
/// Timeout of a call, within which the leader lists the results.
const CALL_TIMEOUT: Millis = Millis(5000);
/// Pause after a call failed.
const RETRY_PAUSE: Millis = Millis(200);

/// Sends outcomes until the process ends. Several calls may be in flight, each for other items.
pub async fn run(agent: Rc<Agent>) {
    let in_flight: Rc<RefCell<HashSet<String>>> = Rc::default();
    loop {
        let listener = agent.changed.listen();
        let (samples, returned) = unsent_outcomes(&agent, &in_flight.borrow());
        if samples.is_empty() && returned.is_empty() {
            listener.await;
            sleep(BATCH_DELAY).await;
            continue;
        }
        // Returned items don't wait until results are listed: other agents can run them meanwhile.
        spawn_send(&agent, &in_flight, samples, Vec::new());
        spawn_send(&agent, &in_flight, Vec::new(), returned);
    }
}

/// Sends outcomes, if there are any, in a task of its own.
fn spawn_send(
    agent: &Rc<Agent>,
    in_flight: &Rc<RefCell<HashSet<String>>>,
    samples: Vec<Sample>,
    returned: Vec<ReturnedItem>,
) {
    let names: Vec<String> = samples
        .iter()
        .map(|sample| sample.key.to_string())
        .chain(returned.iter().map(|item| item.key.to_string()))
        .collect();
    if names.is_empty() {
        return;
    }
    in_flight.borrow_mut().extend(names.iter().cloned());
    let (agent, in_flight) = (Rc::clone(agent), Rc::clone(in_flight));
    spawn(async move {
        send(&agent, samples, returned, &names).await;
        for name in &names {
            in_flight.borrow_mut().remove(name);
        }
        agent.notify();
    });
}

/// Returns the results and returned items that are in no call in flight.
fn unsent_outcomes(agent: &Agent, in_flight: &HashSet<String>) -> (Vec<Sample>, Vec<ReturnedItem>) {
    let state = agent.state.borrow();
    let new = |name: &String| !in_flight.contains(name);
    let samples = state.samples.iter().filter(|(name, _)| new(name));
    let returned = state.returned.iter().filter(|(name, _)| new(name));
    (
        samples.map(|(_, sample)| sample.clone()).collect(),
        returned.map(|(_, item)| item.clone()).collect(),
    )
}

async fn send(agent: &Agent, samples: Vec<Sample>, returned: Vec<ReturnedItem>, names: &[String]) {
    let message = ItemOutcomes {
        agent: agent.cfg.node.clone(),
        samples,
        returned,
    };
    match call(agent, &message).await {
        Ok(()) => {
            let mut state = agent.state.borrow_mut();
            for sample in &message.samples {
                state.samples.shift_remove(&sample.key.to_string());
            }
            for item in &message.returned {
                state.remove_return(&item.key.to_string(), item.id);
            }
        }
        Err(error) => {
            event(log::Level::Warn, "hand-in-failed", || {
                format!("items={} reason=\"{error}\"", names.len())
            });
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn call(agent: &Agent, message: &ItemOutcomes) -> Result<(), LeaderError> {
    let no_answer = |reason: String| LeaderError::NoAnswer { reason };
    let body = serde_json::to_vec(message).map_err(|error| no_answer(error.to_string()))?;
    let called = agent
        .leader_client
        .call(Method::POST, OUTCOMES, body, CALL_TIMEOUT)
        .await;
    match called? {
        (StatusCode::OK, _) => Ok(()),
        (status, _) => Err(no_answer(status.to_string())),
    }
}
