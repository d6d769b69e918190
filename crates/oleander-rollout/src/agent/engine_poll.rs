//! Polls the engine's own report. It is newer than the list of endpoints, and reading it on the
//! same machine costs little.

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
        let there = poll_report(&agent).await;
        if there != was_running {
            event(log::Level::Info, "engine", || format!("there={there}"));
            was_running = there;
            agent.notify();
        }
        if there && agent.ready_endpoint().is_none() {
            // The engine is draining: other agents run the items that have not started.
            agent.return_matching(ReturnReason::EngineLost, |running| !running);
        }
        runner::start_waiting(&agent);
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads a report; returns whether the engine is running.
pub async fn poll_report(agent: &Agent) -> bool {
    let report = agent.engine.report().await;
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
