//! The HTTP API of a dispatcher for entries, agents and other dispatchers.

use super::dispatcher::Dispatcher;
use super::{agents_api, config_api, jobs_api, streams_api};
use crate::http::response::{self, FullResponse};
use crate::http::server::{bind, serve};
use crate::http::server_limits::ServerLimits;
use crate::peer::messages::{
    CONFIG_CHECK, DispatcherHealth, HEALTH, JOBS, LeaderUnreached, OUTCOMES, PLATFORM_UPDATES,
    PULL, REPORT, STREAM_BEGUN, STREAM_ORIGIN, USAGE_COUNTS,
};
use crate::prelude::*;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::rc::Rc;

/// Limits of connections from peers.
const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 16 << 10,
    idle: Millis::from_secs(20),
    bounded: false,
};
/// Largest request body, in bytes.
const BODY_MAX_BYTES: usize = 32 << 20;

/// Starts to serve the API on the configured address.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub fn open(dispatcher: &Rc<Dispatcher>) -> std::io::Result<()> {
    let listener = bind(dispatcher.cfg.peers)?;
    let shutdown = Rc::clone(&dispatcher.shutdown);
    let dispatcher = Rc::clone(dispatcher);
    let handler = Rc::new(move |req| {
        let dispatcher = Rc::clone(&dispatcher);
        async move { Ok::<_, Infallible>(handle(&dispatcher, req).await) }
    });
    spawn(serve(listener, || LIMITS, shutdown, handler));
    Ok(())
}

async fn handle(dispatcher: &Rc<Dispatcher>, req: Request<Incoming>) -> FullResponse {
    let (head, body) = req.into_parts();
    let body = match Limited::new(body, BODY_MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            event(log::Level::Warn, "peer-body-broken", || {
                format!("reason=\"{err}\"")
            });
            return response::status(StatusCode::BAD_REQUEST);
        }
    };
    let path = head.uri.path();
    match (&head.method, path) {
        (_, HEALTH) => return health(dispatcher, &body),
        (&Method::POST, STREAM_BEGUN) => return streams_api::record(dispatcher, &body),
        (&Method::POST, STREAM_ORIGIN) => return streams_api::find(dispatcher, &body),
        (&Method::POST, CONFIG_CHECK) => return check_config(dispatcher, &body).await,
        _ => {}
    }
    if dispatcher.state.borrow().leading_epoch().is_none() {
        return response::status(StatusCode::MISDIRECTED_REQUEST);
    }
    match (&head.method, path) {
        (&Method::POST, PULL) => {
            let wait = dispatcher.freshness.limits.update_wait();
            agents_api::pull(dispatcher, &body, wait).await
        }
        (&Method::POST, REPORT) => agents_api::pull(dispatcher, &body, Millis::ZERO).await,
        (&Method::POST, PLATFORM_UPDATES) => agents_api::platform_updates(dispatcher, &body).await,
        (&Method::POST, USAGE_COUNTS) => take_usage_counts(dispatcher, &body),
        (&Method::POST, OUTCOMES) => agents_api::take_outcomes(dispatcher, &body).await,
        (_, path) if path.starts_with(JOBS) => {
            let rest = path.strip_prefix(JOBS).unwrap_or_default();
            jobs_api::handle(dispatcher, rest, head.uri.query(), &body).await
        }
        _ => response::status(StatusCode::NOT_FOUND),
    }
}

async fn check_config(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    match config_api::check(&dispatcher.config_reader, &dispatcher.view, body).await {
        Ok(update) if update.config.is_none() => to_json(&update),
        Ok(update) => smol::unblock(move || to_json(&update)).await,
        Err(err) => unreadable(&err),
    }
}

fn health(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    if !body.is_empty() {
        match serde_json::from_slice::<LeaderUnreached>(body) {
            Ok(LeaderUnreached { agent, epoch }) => {
                let mut unreached = dispatcher.unreached_leader.borrow_mut();
                unreached.record(now(), epoch, &agent);
            }
            Err(err) => return unreadable(&err),
        }
    }
    // A recovering dispatcher counts as leading too: taking over from it would restart the
    // recovery.
    let leads = dispatcher.state.borrow().leadership.epoch();
    let view = dispatcher.view.get();
    let known = view.leader.as_ref().map(|(leader, _)| leader);
    let health = DispatcherHealth {
        leads: leads.is_some(),
        epoch: leads.or(known.map(|known| known.epoch)).unwrap_or_default(),
        store_age_ms: dispatcher.store.last_success_age().0,
        leader: known.and_then(|known| known.addr),
        node: dispatcher.cfg.node.clone(),
    };
    to_json(&health)
}

fn take_usage_counts(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let Some(duties) = &dispatcher.duties else {
        return response::status(StatusCode::NOT_FOUND);
    };
    match serde_json::from_slice(body) {
        Ok(report) => to_json(&duties.take_counts(report)),
        Err(err) => unreadable(&err),
    }
}

/// Returns a response with a message as JSON; status 500 if it can't be encoded.
pub fn to_json(message: &impl serde::Serialize) -> FullResponse {
    match serde_json::to_vec(message) {
        Ok(body) => response::json(body),
        Err(err) => {
            event(log::Level::Error, "message-unwritable", || {
                format!("reason=\"{err}\"")
            });
            response::status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns the response to a message that can't be decoded.
pub fn unreadable(err: &serde_json::Error) -> FullResponse {
    event(log::Level::Error, "message-unreadable", || {
        format!("reason=\"{err}\"")
    });
    response::status(StatusCode::BAD_REQUEST)
}
