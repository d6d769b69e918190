//! Orders the engine to load weights.
//!
//! An order whose answer is lost may be carried out seconds later. Each order names how many the
//! engine has accepted before it, so of two for the same load one at most takes effect, and the
//! engine's own report says which version it has.

use super::agent_process::Agent;
use super::engine_watch::look;
use super::runner;
use crate::peer::messages::LoadWork;
use crate::prelude::*;
use http::StatusCode;
use oleander_platform::load_order::LoadOrder;
use std::rc::Rc;

/// Longest time that one load is followed; then the dispatcher decides anew.
const FOLLOW_MAX: Millis = Millis(6000);
/// Time between two looks at the engine during a load.
const LOOK_EVERY: Millis = Millis(100);
/// Time after an order without an answer until the next one.
const ORDER_PAUSE: Millis = Millis(700);

/// Starts a load, unless one is under way.
pub fn start(agent: &Rc<Agent>, work: LoadWork) {
    if agent.state.borrow().loading.is_some() {
        return;
    }
    agent.state.borrow_mut().loading = Some(work.model.clone());
    agent.notify();
    let agent = Rc::clone(agent);
    spawn(async move {
        let began = now();
        let loaded = within(FOLLOW_MAX, load(&agent, &work)).await;
        agent.state.borrow_mut().loading = None;
        event(log::Level::Info, "load-ended", || {
            let took = now().since(began);
            format!(
                "model={} version={} loaded={loaded:?} took={took}",
                work.model, work.version
            )
        });
        agent.metrics.record_duration("load", now().since(began));
        agent.notify();
        runner::start_waiting(&agent);
    });
}

/// Orders the load until the engine has the version; returns false when it can't be ordered.
async fn load(agent: &Agent, work: &LoadWork) -> bool {
    loop {
        let state = look(agent)
            .await
            .then(|| engine_state(agent, work))
            .flatten();
        match state {
            None => return false,
            Some(EngineState::HasVersion) => return true,
            Some(EngineState::Busy) => sleep(LOOK_EVERY).await,
            Some(EngineState::Takes { orders_accepted }) => {
                if !order(agent, work, orders_accepted).await {
                    return false;
                }
            }
        }
    }
}

enum EngineState {
    HasVersion,
    Busy,
    Takes { orders_accepted: u64 },
}

fn engine_state(agent: &Agent, work: &LoadWork) -> Option<EngineState> {
    let state = agent.state.borrow();
    let report = state.engine_now()?;
    let held = *report.weights.get(&work.model)?;
    Some(if held >= work.version {
        EngineState::HasVersion
    } else if report.order_in_progress {
        EngineState::Busy
    } else {
        EngineState::Takes {
            orders_accepted: report.orders_accepted,
        }
    })
}

/// Gives one order; returns false when the engine will not take it.
async fn order(agent: &Agent, work: &LoadWork, orders_accepted: u64) -> bool {
    let Some(endpoint) = agent.ready_endpoint() else {
        return false;
    };
    let order = LoadOrder {
        model: &work.model,
        version: work.version,
        holder: &agent.cfg.node,
        fence: agent.view.get().first_revision,
        orders_accepted,
    };
    let answer = agent.engine.order(&endpoint.instance, &order).await;
    if matches!(answer, Ok(StatusCode::MISDIRECTED_REQUEST)) {
        agent.state.borrow_mut().replaced_instance = Some(endpoint.instance.clone());
    }
    event(log::Level::Info, "order", || {
        format!(
            "instance={} model={} version={} fence={} orders_accepted={orders_accepted} answer={answer:?}",
            endpoint.instance, work.model, work.version, order.fence
        )
    });
    match answer {
        Ok(StatusCode::OK | StatusCode::ACCEPTED) => {
            sleep(LOOK_EVERY).await;
            true
        }
        Ok(StatusCode::CONFLICT) => {
            sleep(LOOK_EVERY).await;
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
            sleep(ORDER_PAUSE).await;
            true
        }
    }
}
