//! A caller that sends orders through the entries, as an order desk behind a balancer does.

use oleander_daemon::http::error_body::ErrorBody;
use oleander_standins::api::{Api, ApiError, Reply};
use oleander_standins::judge;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::{Display, VariantArray};
use trillium_client::Method;

/// Entries that one order tries.
const TRIES: usize = 3;
/// Status of an entry that takes new work.
const READY: u16 = 200;
/// Longest wait of a client for one answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// What is ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderKind {
    /// A plain call that may be repeated.
    Availability,
    /// A plain call that may not be repeated, with an issued key.
    Quote,
    /// A completion.
    Advice,
}

/// One order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// Unique in a run; the body of the call names it.
    pub number: u64,
    /// What is ordered.
    pub kind: OrderKind,
    /// Tokens of a completion.
    pub tokens: u64,
}

/// What the caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole and right answer.
    Whole,
    /// An answer that is not the one to its own request.
    Wrong,
    /// An error.
    Refused {
        /// Name of the error kind.
        kind: String,
        /// Whether the work ran.
        ran: Ran,
    },
    /// A connection that broke without an answer, at every entry tried.
    CutOff,
}

/// The end of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEnd {
    /// The order.
    pub order: Order,
    /// What the caller was told.
    pub told: Told,
    /// Time from when it was due to its end, in milliseconds.
    pub latency_ms: u64,
    /// Connections that broke without an answer on the way.
    pub broken: u64,
}

#[derive(Deserialize)]
struct KeyBody {
    key: String,
}

#[derive(Deserialize)]
struct CompletionBody {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct PlainBody {
    echo: String,
}

/// Sends an order that was due at `due`, to the entries in turn from the `first`.
pub async fn send(entries: &[SocketAddr], first: usize, due: Instant, order: Order) -> OrderEnd {
    let mut broken = 0;
    let mut key = None;
    let mut told = Told::CutOff;
    for i in 0..TRIES {
        let entry = entries[(first + i) % entries.len()];
        let api = Api::new(entry).with_timeout(CLIENT_TIMEOUT);
        if !is_ready(&api).await {
            continue;
        }
        match try_once(&api, order, &mut key).await {
            Ok(answer) => told = answer,
            Err(fault) => {
                broken += u64::from(!is_unreachable(&fault));
                continue;
            }
        }
        if !goes_on(&told) {
            break;
        }
    }
    let latency_ms = u64::try_from(due.elapsed().as_millis()).unwrap_or(u64::MAX);
    OrderEnd {
        order,
        told,
        latency_ms,
        broken,
    }
}

/// The balancer before the entries sends nothing to one that is not ready.
async fn is_ready(api: &Api) -> bool {
    let reply = api.get("/readyz").await;
    reply.is_ok_and(|reply| reply.status == READY)
}

/// A stopping entry is left for another one; every other answer is final.
fn goes_on(told: &Told) -> bool {
    matches!(told, Told::Refused { kind, ran: Ran::No } if kind == "shutting-down")
}

/// An entry that accepts no connection cuts nothing off.
fn is_unreachable(fault: &ApiError) -> bool {
    match fault {
        ApiError::Broken(trillium_client::Error::Io(fault)) => {
            fault.kind() == std::io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

async fn try_once(api: &Api, order: Order, key: &mut Option<String>) -> Result<Told, ApiError> {
    match order.kind {
        OrderKind::Availability => {
            let body = json!({ "order": order.number });
            let reply = api
                .post("/v1/services/availability/availability", &body)
                .await?;
            Ok(plain_told(&reply, order))
        }
        OrderKind::Quote => quote(api, order, key).await,
        OrderKind::Advice => advice(api, order).await,
    }
}

async fn quote(api: &Api, order: Order, key: &mut Option<String>) -> Result<Told, ApiError> {
    let first_call = key.is_none();
    if key.is_none() {
        let reply = api.post("/v1/keys", &json!({ "service": "quote" })).await?;
        match reply.json::<KeyBody>() {
            Ok(body) => *key = Some(body.key),
            Err(_) => return Ok(refusal(&reply)),
        }
    }
    let body = json!({ "order": order.number }).to_string();
    let conn = api
        .conn(Method::Post, "/v1/services/quote/quote")
        .with_request_header("content-type", "application/json")
        .with_request_header("idempotency-key", key.clone().unwrap_or_default())
        .with_request_header("x-first-call", if first_call { "yes" } else { "no" })
        .with_body(body);
    let reply = api.send(conn).await?;
    Ok(plain_told(&reply, order))
}

fn plain_told(reply: &Reply, order: Order) -> Told {
    let sent = json!({ "order": order.number }).to_string();
    match reply.json::<PlainBody>() {
        Ok(body) if body.echo == sent => Told::Whole,
        Ok(_) => Told::Wrong,
        Err(_) => refusal(reply),
    }
}

async fn advice(api: &Api, order: Order) -> Result<Told, ApiError> {
    let prompt = format!("advice for order {}", order.number);
    let body = json!({ "model": "advisor", "prompt": prompt, "max_tokens": order.tokens });
    let reply = api.post("/v1/completions", &body).await?;
    let Ok(body) = reply.json::<CompletionBody>() else {
        return Ok(refusal(&reply));
    };
    let text = body
        .choices
        .first()
        .map(|choice| choice.text.as_str())
        .unwrap_or_default();
    match judge::versions(&prompt, order.tokens, text) {
        Some(_) => Ok(Told::Whole),
        None => Ok(Told::Wrong),
    }
}

fn refusal(reply: &Reply) -> Told {
    match serde_json::from_str::<ErrorBody>(&reply.body) {
        Ok(body) => Told::Refused {
            kind: body.error.kind,
            ran: body.error.ran,
        },
        Err(_) => Told::Wrong,
    }
}
