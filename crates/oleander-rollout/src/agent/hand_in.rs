//! Hands what came of items to the leading dispatcher, until it has listed it.

use super::agent_process::Agent;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{ItemOutcomes, OUTCOMES, ReturnedItem};
use crate::prelude::*;
use http::{Method, StatusCode};
use oleanderlock::batch::sample::Sample;
use std::collections::HashSet;
use std::rc::Rc;

/// Time for which results gather before they are handed in together.
const GATHER: Millis = Millis(30);
/// Longest wait until results are listed.
const HAND_IN_LIMIT: Millis = Millis(5000);
/// Pause after results were not taken.
const RETRY_PAUSE: Millis = Millis(200);

/// Hands in until the process ends. Several calls may be under way, each with other items.
pub async fn run(agent: Rc<Agent>) {
    let under_way: Rc<std::cell::RefCell<HashSet<String>>> = Rc::default();
    loop {
        let listener = agent.changed.listen();
        let (samples, returned) = take_new(&agent, &under_way.borrow());
        if samples.is_empty() && returned.is_empty() {
            listener.await;
            sleep(GATHER).await;
            continue;
        }
        let names: Vec<String> = samples
            .iter()
            .map(|sample| sample.key.to_string())
            .chain(returned.iter().map(|item| item.key.to_string()))
            .collect();
        under_way.borrow_mut().extend(names.iter().cloned());
        let (agent, under_way) = (Rc::clone(&agent), Rc::clone(&under_way));
        spawn(async move {
            send(&agent, samples, returned, &names).await;
            for name in &names {
                under_way.borrow_mut().remove(name);
            }
            agent.notify();
        });
    }
}

fn take_new(agent: &Agent, under_way: &HashSet<String>) -> (Vec<Sample>, Vec<ReturnedItem>) {
    let state = agent.state.borrow();
    let new = |name: &String| !under_way.contains(name);
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
            for name in names {
                state.samples.shift_remove(name);
                state.returned.shift_remove(name);
            }
        }
        Err(fault) => {
            event(log::Level::Warn, "hand-in-failed", || {
                format!("items={} reason=\"{fault}\"", names.len())
            });
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn call(agent: &Agent, message: &ItemOutcomes) -> Result<(), LeaderError> {
    let fault = |reason: String| LeaderError::NoAnswer { reason };
    let body = serde_json::to_vec(message).map_err(|bad| fault(bad.to_string()))?;
    let called = agent
        .leader_client
        .call(Method::POST, OUTCOMES, body, HAND_IN_LIMIT)
        .await;
    match called? {
        (StatusCode::OK, _) => Ok(()),
        (status, _) => Err(fault(status.to_string())),
    }
}
