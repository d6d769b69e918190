//! Reports to the leading dispatcher and receives work from it.

use super::agent_process::Agent;
use super::held_item::HeldItem;
use super::{load, runner};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{LeaderUnreached, PULL, PullRequest, PullResponse, REPORT};
use crate::prelude::*;
use crate::store::confirmation::time_of;
use crate::store::platform_update::apply_platform_update;
use http::{Method, StatusCode};
use oleanderlock::batch::agent_report::AgentReport;
use std::rc::Rc;

/// Timeout of a report; the leader may delay its response until there is work.
const PULL_TIMEOUT: Millis = Millis(1800);
/// Pause after a report failed.
const RETRY_PAUSE: Millis = Millis(150);
/// Timeout of asking the dispatchers for the leader.
const ASK_TIMEOUT: Millis = Millis(300);

/// Reports until the process ends.
pub async fn run(agent: Rc<Agent>) {
    let mut failing = false;
    loop {
        let sent_at = now();
        let epoch = agent.leader_client.epoch();
        match pull(&agent, PULL).await {
            Ok(response) => {
                if failing {
                    event(log::Level::Info, "leader-regained", String::new);
                    failing = false;
                }
                if !apply(&agent, sent_at, response) {
                    // The leader would answer the next report at once, with the same endpoints.
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(error) => {
                if !failing {
                    event(log::Level::Warn, "leader-lost", || {
                        format!("reason=\"{error}\"")
                    });
                    failing = true;
                }
                let unreached = epoch.filter(|_| error.is_unreached());
                let unreached = unreached.map(|epoch| LeaderUnreached {
                    agent: agent.cfg.node.clone(),
                    epoch,
                });
                let asked = agent
                    .leader_client
                    .ask_for_leader(ASK_TIMEOUT, unreached.as_ref());
                asked.await;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reports each change of the slots and each start or end of a load at once, while another report
/// waits for work.
pub async fn report_changes(agent: Rc<Agent>) {
    let mut reported = (0, false);
    loop {
        let listener = agent.changed.listen();
        let report = report(&agent);
        let current = (report.slots, report.loading.is_some());
        if current == reported {
            listener.await;
            continue;
        }
        let sent_at = now();
        match pull(&agent, REPORT).await {
            Ok(response) => {
                reported = current;
                apply(&agent, sent_at, response);
            }
            // A later report of `run` contains the change as well.
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn pull(agent: &Agent, path: &str) -> Result<PullResponse, LeaderError> {
    let no_answer = |reason: String| LeaderError::NoAnswer { reason };
    let parts = if path == PULL {
        agent.state.borrow().unreported_parts()
    } else {
        Vec::new()
    };
    let req = PullRequest {
        report: report(agent),
        parts,
        caller_rank: agent.view.get().caller_rank,
        demand: agent.caller.demand().get(),
    };
    let body = serde_json::to_vec(&req).map_err(|error| no_answer(error.to_string()))?;
    let called = agent
        .leader_client
        .call(Method::POST, path, body, PULL_TIMEOUT)
        .await;
    let (status, body) = called?;
    if status != StatusCode::OK {
        return Err(no_answer(status.to_string()));
    }
    agent.state.borrow_mut().mark_reported(&req.parts);
    serde_json::from_slice(&body).map_err(|error| no_answer(error.to_string()))
}

fn report(agent: &Agent) -> AgentReport {
    let view = agent.view.get();
    let endpoint = agent.endpoint();
    let limited = endpoint
        .as_ref()
        .and_then(|endpoint| agent.limited_slots(endpoint));
    let ready = agent.ready_endpoint().is_some() && !agent.stopping.get();
    let state = agent.state.borrow();
    let engine = state.fresh_report();
    let slots = match (&endpoint, engine) {
        (Some(endpoint), Some(_)) if ready => endpoint.slots.min(limited.unwrap_or(usize::MAX)),
        _ => 0,
    };
    AgentReport {
        agent: agent.cfg.node.clone(),
        process: agent.process,
        instance: endpoint
            .as_ref()
            .map(|entry| entry.instance.clone())
            .unwrap_or_default(),
        software: endpoint.as_ref().and_then(|entry| entry.software.clone()),
        service: endpoint.map(|entry| entry.service),
        engine: Some(agent.engine.addr()),
        slots,
        leaving: !ready,
        weights: engine
            .map(|report| report.weights.clone())
            .unwrap_or_default(),
        loading: state.loading.clone(),
        event_us: state.pace.interval_us(now()),
        items: state.item_names(),
        waiting: state.waiting().iter().map(ToString::to_string).collect(),
        config_version: view
            .routes
            .as_ref()
            .map_or(0, |routes| routes.config.version),
        endpoints_digest: agent.endpoint_source.digest(),
    }
}

/// Applies the response to a report that was sent at `sent_at`; returns whether the endpoints are those
/// of the leader.
fn apply(agent: &Rc<Agent>, sent_at: Millis, response: PullResponse) -> bool {
    let confirmed_at = response
        .ends_confirmed_ms
        .map(|offset| time_of(sent_at, offset));
    agent.job_checks.record_leader(sent_at, confirmed_at);
    let update = (sent_at, response.platform_update);
    let update = apply_platform_update(&agent.view, agent.endpoint_source.freshness(), update);
    let from_leader = agent.endpoint_source.update(sent_at, &update);
    if update.endpoints_digest.is_some() {
        agent.notify();
    }
    agent.return_named(&response.recall);
    agent.return_waiting(&response.recall_waiting);
    {
        let mut state = agent.state.borrow_mut();
        for name in &response.drop {
            if state.remove_item(name) {
                event(log::Level::Info, "item-dropped", || format!("item={name}"));
            }
        }
        for name in &response.resend_full {
            state.resend_full(name);
        }
        for work in response.work {
            let name = work.key.to_string();
            // The leader assigns an item again once it has taken the return of it, whose answer may
            // come later than the work.
            state.returned.shift_remove(&name);
            if !state.item_names().contains(&name) {
                state.items.insert(name, HeldItem::waiting(work));
            }
        }
    }
    if let Some(work) = response.load {
        load::start(agent, work);
    }
    runner::start_waiting(agent);
    from_leader
}
