//! Polls the engine's own report, which decides which items the agent can run. It is newer than the
//! engine's entry in the platform's endpoint list, and reading it on the same machine costs little.

use super::agent_process::Agent;
use super::runner;
use crate::peer::messages::ReturnReason;
use crate::prelude::*;
use std::rc::Rc;

/// Interval of the polls.
const POLL_INTERVAL: Millis = Millis(400);

/// Polls the engine until the process ends, and starts waiting items that it can run.
pub async fn run(agent: Rc<Agent>) {
    let mut was_running = false;
    loop {
        let is_running = poll_report(&agent).await;
        if is_running != was_running {
            event(log::Level::Info, "engine", || format!("there={is_running}"));
            was_running = is_running;
            agent.notify();
        }
        if is_running && agent.ready_endpoint().is_none() {
            // The engine is draining: other agents run the items that have not started.
            agent.return_matching(ReturnReason::EngineLost, |running| !running);
        }
        runner::start_waiting(&agent);
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads a report; returns whether the engine is running.
pub async fn poll_report(agent: &Agent) -> bool {
    let listed = agent.endpoint();
    let report = agent.engine.report(listed.as_ref()).await;
    let mut state = agent.state.borrow_mut();
    match report {
        Ok(report) => {
            state.engine = Some((report, now()));
            true
        }
        Err(error) => {
            event(log::Level::Debug, "engine-silent", || {
                format!("reason=\"{error}\"")
            });
            state.fresh_report().is_some()
        }
    }
}
