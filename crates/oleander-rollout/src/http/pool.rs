//! Connections to endpoints, the store and peers, kept open between requests.
//!
//! Bounded by the requests that were in flight at once; idle connections end with the timeout that
//! the other side names.

use super::exchange::{Exchange, Lease};
use super::send_error::SendError;
use super::socket::connect;
use crate::prelude::*;
use http::{HeaderMap, Request};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Idle time of a connection whose other side names no timeout.
const IDLE_DEFAULT: Millis = Millis(4000);
/// How long before the other side's timeout an idle connection is no longer used.
const IDLE_MARGIN: Millis = Millis(500);

/// Which connections a request may use: those to one incarnation at one address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Destination {
    /// Address of the other side.
    pub addr: SocketAddr,
    /// Its incarnation, or empty where that doesn't matter.
    pub instance: String,
}

impl Destination {
    /// An address at which any incarnation will do.
    pub fn any(addr: SocketAddr) -> Self {
        Self {
            addr,
            instance: String::new(),
        }
    }
}

/// A connection that no request uses.
#[derive(Debug)]
pub(super) struct Idle {
    destination: Destination,
    sender: SendRequest<Full<Bytes>>,
    until: Millis,
}

/// Connections that are kept open between requests.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<Destination, Vec<Idle>>>,
    connect_limit: Millis,
}

impl Pool {
    /// An empty pool; opening a connection takes `connect_limit` at most.
    pub fn new(connect_limit: Millis) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            connect_limit,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] when no byte of the request was sent.
    pub async fn send(
        self: &Rc<Self>,
        to: &Destination,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        loop {
            let (mut idle, reused) = match self.take(to) {
                Some(idle) => (idle, true),
                None => (self.open(to).await?, false),
            };
            match idle.sender.try_send_request(req).await {
                Ok(answer) => {
                    let (head, body) = answer.into_parts();
                    let pool = Rc::clone(self);
                    return Ok(Exchange::new(head, body, Lease { pool, idle }));
                }
                Err(mut fault) => match fault.take_message() {
                    // The connection closed while it was idle; nothing was sent on it.
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(SendError::not_sent(fault.into_error())),
                    None => return Err(SendError::no_answer(fault.into_error())),
                },
            }
        }
    }

    fn take(&self, to: &Destination) -> Option<Idle> {
        let now = now();
        let mut all = self.idle.borrow_mut();
        let waiting = all.get_mut(to)?;
        waiting.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let ready = waiting.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(waiting.swap_remove(ready))
    }

    async fn open(&self, to: &Destination) -> Result<Idle, SendError> {
        let stream = connect(to.addr, self.connect_limit).await;
        let stream = stream.map_err(SendError::not_sent)?;
        let (sender, connection) = Builder::new()
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(SendError::not_sent)?;
        spawn(async move {
            if let Err(fault) = connection.await {
                event(log::Level::Debug, "connection-broken", || {
                    format!("reason=\"{fault}\"")
                });
            }
        });
        Ok(Idle {
            destination: to.clone(),
            sender,
            until: Millis::MAX,
        })
    }

    pub(super) fn put_back(&self, mut idle: Idle, headers: &HeaderMap) {
        if idle.sender.is_closed() {
            return;
        }
        idle.until = now().plus(idle_limit(headers));
        let mut all = self.idle.borrow_mut();
        all.entry(idle.destination.clone()).or_default().push(idle);
    }
}

/// Returns for how long a connection may stay idle, by the `Keep-Alive` header of an answer.
fn idle_limit(headers: &HeaderMap) -> Millis {
    let named = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let parts = text.split(',').map(str::trim);
        let timeout = parts.filter_map(|part| part.strip_prefix("timeout="));
        timeout
            .filter_map(|seconds| seconds.trim().parse().ok())
            .next()
    });
    named.map_or(IDLE_DEFAULT, |seconds| {
        Millis::from_secs(seconds).since(IDLE_MARGIN)
    })
}
