//! Reports to the leading dispatcher and takes work from it.

use super::agent_process::Agent;
use super::state::HeldItem;
use super::{load, runner};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{PULL, PullRequest, PullResponse, REPORT};
use crate::prelude::*;
use crate::store::platform_update::apply_platform_update;
use http::{Method, StatusCode};
use oleanderlock::batch::agent_report::AgentReport;
use std::rc::Rc;

/// Longest wait for the answer to a report.
const PULL_LIMIT: Millis = Millis(1800);
/// Pause after a report without an answer.
const RETRY_PAUSE: Millis = Millis(150);
/// Longest wait for a dispatcher that is asked who leads.
const ASK_LIMIT: Millis = Millis(300);

/// Reports until the process ends.
pub async fn run(agent: Rc<Agent>) {
    let mut failing = false;
    loop {
        match pull(&agent, PULL).await {
            Ok(answer) => {
                if failing {
                    event(log::Level::Info, "leader-regained", String::new);
                    failing = false;
                }
                take(&agent, answer);
            }
            Err(fault) => {
                if !failing {
                    event(log::Level::Warn, "leader-lost", || {
                        format!("reason=\"{fault}\"")
                    });
                    failing = true;
                }
                agent.leader_client.ask_for_leader(ASK_LIMIT).await;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reports each change of what the agent can do, while another report waits for work.
pub async fn report_changes(agent: Rc<Agent>) {
    let mut reported = (0, false);
    loop {
        let listener = agent.changed.listen();
        let report = report(&agent);
        let now = (report.slots, report.loading.is_some());
        if now == reported {
            listener.await;
            continue;
        }
        match pull(&agent, REPORT).await {
            Ok(answer) => {
                reported = now;
                take(&agent, answer);
            }
            // The waiting report tells it later.
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn pull(agent: &Agent, path: &str) -> Result<PullResponse, LeaderError> {
    let fault = |reason: String| LeaderError::NoAnswer { reason };
    let parts = if path == PULL {
        agent.state.borrow().parts()
    } else {
        Vec::new()
    };
    let req = PullRequest {
        report: report(agent),
        parts,
    };
    let body = serde_json::to_vec(&req).map_err(|bad| fault(bad.to_string()))?;
    let called = agent
        .leader_client
        .call(Method::POST, path, body, PULL_LIMIT)
        .await;
    let (status, body) = called?;
    if status != StatusCode::OK {
        return Err(fault(status.to_string()));
    }
    agent.state.borrow_mut().told(&req.parts);
    serde_json::from_slice(&body).map_err(|bad| fault(bad.to_string()))
}

fn report(agent: &Agent) -> AgentReport {
    let view = agent.view.get();
    let endpoint = agent.endpoint();
    let ready = agent.ready_endpoint().is_some() && !agent.stopping.get();
    let state = agent.state.borrow();
    let engine = state.engine_now();
    let slots = match (&endpoint, engine) {
        (Some(endpoint), Some(_)) if ready => endpoint.slots,
        _ => 0,
    };
    AgentReport {
        agent: agent.cfg.node.clone(),
        process: agent.process,
        instance: endpoint
            .as_ref()
            .map(|entry| entry.instance.clone())
            .unwrap_or_default(),
        service: endpoint.map(|entry| entry.service),
        engine: Some(agent.engine.addr()),
        slots,
        leaving: !ready,
        weights: engine
            .map(|report| report.weights.clone())
            .unwrap_or_default(),
        loading: state.loading.clone(),
        event_us: state.pace_now(),
        items: state.names(),
        waiting: state.waiting().iter().map(ToString::to_string).collect(),
        config_version: view
            .routes
            .as_ref()
            .map_or(0, |routes| routes.config.version),
        endpoints_digest: state.endpoints_digest,
    }
}

fn take(agent: &Rc<Agent>, answer: PullResponse) {
    if let Some(digest) = apply_platform_update(&agent.view, answer.platform_update) {
        agent.state.borrow_mut().endpoints_digest = digest;
        agent.notify();
    }
    agent.give_back_named(&answer.recall);
    agent.give_back_waiting(&answer.recall_waiting);
    {
        let mut state = agent.state.borrow_mut();
        for name in &answer.drop {
            if state.drop_item(name) {
                event(log::Level::Info, "item-dropped", || format!("item={name}"));
            }
        }
        for name in &answer.resend_full {
            state.tell_whole(name);
        }
        for work in answer.work {
            let name = work.key.to_string();
            if !state.names().contains(&name) {
                state.items.insert(name, HeldItem::waiting(work));
            }
        }
    }
    if let Some(work) = answer.load {
        load::start(agent, work);
    }
    runner::start_waiting(agent);
}
