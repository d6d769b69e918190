//! Orders the engine to load weights.
//!
//! An order without a response may be carried out seconds later. Each order names the number of
//! orders that the engine has accepted before it, so that at most one of two orders for the same
//! load takes effect. The engine's own report shows which version it has.

use super::agent_process::Agent;
use super::engine_poll::poll_report;
use super::runner;
use crate::peer::messages::LoadWork;
use crate::prelude::*;
use http::StatusCode;
use oleander_platform::load_order::LoadOrder;
use std::rc::Rc;

/// Time after which the agent gives up on a load, and the dispatcher decides again.
const LOAD_TIMEOUT: Millis = Millis(6000);
/// Longest time that an order waits for the engine's rate limit.
const LIMIT_DELAY_MAX: Millis = Millis(5000);
/// Interval at which the engine is polled during a load.
const POLL_INTERVAL: Millis = Millis(100);
/// Pause after an order without a response.
const RETRY_PAUSE: Millis = Millis(700);

/// Starts a load, unless one is in progress.
pub fn start(agent: &Rc<Agent>, work: LoadWork) {
    if agent.state.borrow().loading.is_some() {
        return;
    }
    agent.state.borrow_mut().loading = Some(work.model.clone());
    agent.notify();
    let agent = Rc::clone(agent);
    spawn(async move {
        let started_at = now();
        let loaded = within(LOAD_TIMEOUT, load(&agent, &work)).await;
        agent.state.borrow_mut().loading = None;
        event(log::Level::Info, "load-ended", || {
            let took = now().since(started_at);
            format!(
                "model={} version={} loaded={loaded:?} took={took}",
                work.model, work.version
            )
        });
        agent
            .metrics
            .record_latency("load", now().since(started_at));
        agent.notify();
        runner::start_waiting(&agent);
    });
}

/// Repeats the order until the engine has the version; returns false when the engine is not running
/// or refuses the order.
async fn load(agent: &Agent, work: &LoadWork) -> bool {
    loop {
        let state = poll_report(agent)
            .await
            .then(|| engine_state(agent, work))
            .flatten();
        match state {
            None => return false,
            Some(EngineState::HasVersion) => return true,
            Some(EngineState::Busy) => sleep(POLL_INTERVAL).await,
            Some(EngineState::AcceptsOrder { orders_accepted }) => {
                if !send_order(agent, work, orders_accepted).await {
                    return false;
                }
            }
        }
    }
}

/// State of the engine as regards one load.
enum EngineState {
    HasVersion,
    Busy,
    AcceptsOrder { orders_accepted: u64 },
}

fn engine_state(agent: &Agent, work: &LoadWork) -> Option<EngineState> {
    let state = agent.state.borrow();
    let report = state.fresh_report()?;
    let current = *report.weights.get(&work.model)?;
    Some(if current >= work.version {
        EngineState::HasVersion
    } else if report.order_in_progress {
        EngineState::Busy
    } else {
        EngineState::AcceptsOrder {
            orders_accepted: report.orders_accepted,
        }
    })
}

/// Sends one order; returns false when the engine refuses it or accepts no work.
async fn send_order(agent: &Agent, work: &LoadWork, orders_accepted: u64) -> bool {
    let Some(endpoint) = agent.ready_endpoint() else {
        return false;
    };
    if !agent.wait_for_limit(&endpoint, LIMIT_DELAY_MAX).await {
        return false;
    }
    let order = LoadOrder {
        model: &work.model,
        version: work.version,
        holder: &agent.cfg.node,
        fence: agent.view.get().first_revision,
        orders_accepted,
    };
    let result = agent.engine.order_load(&endpoint, &order).await;
    if matches!(result, Ok(StatusCode::MISDIRECTED_REQUEST)) {
        agent.refuse_entry(&endpoint);
    }
    event(log::Level::Info, "order", || {
        format!(
            "instance={} model={} version={} fence={} orders_accepted={orders_accepted} answer={result:?}",
            endpoint.instance, work.model, work.version, order.fence
        )
    });
    match result {
        Ok(StatusCode::OK | StatusCode::ACCEPTED) => {
            sleep(POLL_INTERVAL).await;
            true
        }
        Ok(StatusCode::CONFLICT) => {
            sleep(POLL_INTERVAL).await;
            true
        }
        Ok(status) => {
            agent
                .metrics
                .record_refusal(&format!("order-{}", status.as_u16()));
            false
        }
        Err(_) => {
            agent.metrics.record_retry("order");
            sleep(RETRY_PAUSE).await;
            true
        }
    }
}
