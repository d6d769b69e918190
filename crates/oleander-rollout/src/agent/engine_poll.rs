//! Polls the engine's own report, which decides which items the agent can run. It is newer than the
//! engine's entry in the platform's endpoint list, and reading it on the same machine costs little.

use super::agent_process::Agent;
use super::runner;
use crate::http::send_error::SendError;
use crate::peer::messages::ReturnReason;
use crate::prelude::*;
use oleander_platform::engine_report::EngineReport;
use std::rc::Rc;
use std::sync::Arc;

/// Interval of the polls.
const POLL_INTERVAL: Millis = Millis(400);
/// Most entries at the engine's address about which one poll asks the engine.
const ENTRIES_PER_POLL: usize = 8;

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
    let report = read_report(agent).await;
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

/// Reads a report of the engine, and finds out which entry at its address is its own: it refuses
/// requests for other instances.
async fn read_report(agent: &Agent) -> Result<EngineReport, SendError> {
    let endpoints = Arc::clone(&agent.view.get().endpoints);
    agent.state.borrow_mut().own_entry.retain_listed(&endpoints);
    for _ in 0..ENTRIES_PER_POLL {
        let listed = agent.endpoint();
        let expected = listed.filter(|entry| !agent.state.borrow().own_entry.has_refused(entry));
        let Some(entry) = expected else {
            break;
        };
        if let Some(report) = agent.engine.report(Some(&entry)).await? {
            agent.state.borrow_mut().own_entry.confirm(&entry);
            return Ok(report);
        }
        agent.refuse_entry(&entry);
    }
    let report = agent.engine.report(None).await?;
    report.ok_or_else(|| SendError::no_answer("another instance"))
}
