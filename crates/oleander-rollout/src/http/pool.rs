//! Connections to endpoints, the store and peers, kept open between requests.
//!
//! A pool never holds more connections than requests were in flight at the same time. An idle
//! connection expires by the timeout in the `Keep-Alive` header of the last response.

use super::body_budget::BodyBudget;
use super::carried_ids::CarriedIds;
use super::destination::Destination;
use super::exchange::Exchange;
use super::fair_stream::{FairStream, HeadLimit};
use super::pooled_connection::PooledConnection;
use super::reuse::Reuse;
use super::send_error::SendError;
use super::socket::connect;
use crate::prelude::*;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Idle timeout of a connection when the response names no timeout.
const IDLE_TIMEOUT_DEFAULT: Millis = Millis(4000);
/// How long before the remote side's idle timeout a connection is no longer reused.
const IDLE_MARGIN: Millis = Millis(500);

/// Time between two searches for connections that are no longer used.
const SWEEP_EVERY: Millis = Millis::from_secs(5);

/// An open connection, on which a request can be sent.
#[derive(Debug)]
pub(super) struct IdleConnection {
    destination: Destination,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    carried: CarriedIds,
    expires_at: Millis,
}

impl IdleConnection {
    /// Whether it has not expired and the remote side has not closed it.
    fn is_usable(&self, now: Millis) -> bool {
        self.expires_at > now && !self.sender.is_closed()
    }

    fn may_carry(&self, reuse: Reuse<'_>) -> bool {
        match reuse {
            Reuse::Any => true,
            Reuse::OncePerId(id) => self.carried.allows(id),
            Reuse::Never => false,
        }
    }
}

/// Connections that are kept open between requests, by destination.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<Destination, Vec<IdleConnection>>>,
    swept_at: Cell<Millis>,
    connect_timeout: Millis,
    pub(super) bodies: BodyBudget,
}

impl Pool {
    /// Returns an empty pool; opening a connection takes `connect_timeout` at most.
    pub fn new(connect_timeout: Millis) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            swept_at: Cell::new(now()),
            connect_timeout,
            bodies: BodyBudget::default(),
        })
    }

    /// Sends a request, on an idle connection if there is one, and waits for status and headers of
    /// the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] when no byte of the request was sent, and [`SendError::NoAnswer`]
    /// when the connection broke after that, or the status is no final one of HTTP.
    pub async fn send(
        self: &Rc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        self.send_built(to, Reuse::Any, || Ok(req.clone())).await
    }

    /// Does the same as [`Self::send`] with a request that `build` returns once a connection is
    /// open, since the time until then may have changed what may be sent. Only connections that `reuse`
    /// allows carry it.
    ///
    /// # Errors
    ///
    /// The same, and the error of `build`; nothing is sent then, and the connection is closed.
    pub async fn send_built(
        self: &Rc<Self>,
        to: &Destination,
        reuse: Reuse<'_>,
        build: impl Fn() -> Result<Request<Full<Bytes>>, SendError>,
    ) -> Result<Exchange, SendError> {
        loop {
            let (mut connection, reused) = match self.take_idle(to, reuse) {
                Some(connection) => (connection, true),
                None => {
                    self.close_oldest_idle(to);
                    (self.open(to).await?, false)
                }
            };
            let req = build()?;
            if let Reuse::OncePerId(id) = reuse {
                connection.carried.add(id);
            }
            connection.head_limit.start();
            match connection.sender.try_send_request(req).await {
                Ok(response) => {
                    connection.head_limit.stop();
                    let (head, body) = response.into_parts();
                    if !is_final(head.status) {
                        let status = head.status.as_u16();
                        return Err(SendError::no_answer(format!("the odd status {status}")));
                    }
                    let pool = Rc::clone(self);
                    let connection = PooledConnection { pool, connection };
                    let mut exchange = Exchange::new(head, body, connection, !reused);
                    if reuse == Reuse::Never {
                        // A copy of this response could not be told from that to a later request.
                        exchange.close_after_body();
                    }
                    return Ok(exchange);
                }
                Err(mut error) => match error.take_message() {
                    // The remote side closed the idle connection; nothing was sent on it.
                    Some(_) if reused => {}
                    Some(_) => return Err(SendError::not_sent(error.into_error())),
                    None => return Err(SendError::no_answer(error.into_error())),
                },
            }
        }
    }

    fn take_idle(&self, to: &Destination, reuse: Reuse<'_>) -> Option<IdleConnection> {
        let now = now();
        let mut all = self.idle.borrow_mut();
        let connections = all.get_mut(to)?;
        connections.retain(|idle| idle.is_usable(now));
        let index = connections
            .iter()
            .rposition(|idle| idle.sender.is_ready() && idle.may_carry(reuse))?;
        Some(connections.remove(index))
    }

    /// Closes the idle connection to a destination that has been idle for longest, which a new one
    /// replaces: requests that are sent again would add connections otherwise.
    fn close_oldest_idle(&self, to: &Destination) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(to)
            && !connections.is_empty()
        {
            connections.remove(0);
        }
    }

    async fn open(&self, to: &Destination) -> Result<IdleConnection, SendError> {
        let stream = connect(to.addr, self.connect_timeout).await;
        let stream = stream.map_err(SendError::not_sent)?;
        let head_limit = HeadLimit::default();
        let (sender, connection) = Builder::new()
            // Bodies are written from where they are: a connection would keep a copy as large as its largest.
            .writev(true)
            .handshake(FuturesIo::new(FairStream::new(stream, head_limit.clone())))
            .await
            .map_err(SendError::not_sent)?;
        spawn(async move {
            if let Err(error) = connection.await {
                event(log::Level::Debug, "connection-broken", || {
                    format!("reason=\"{error}\"")
                });
            }
        });
        Ok(IdleConnection {
            destination: to.clone(),
            sender,
            head_limit,
            carried: CarriedIds::default(),
            expires_at: Millis::MAX,
        })
    }

    /// Returns the number of idle connections to a destination.
    pub fn idle_connections(&self, to: &Destination) -> usize {
        self.idle.borrow().get(to).map_or(0, Vec::len)
    }

    /// Whether a request to a destination would be sent on a connection that is open already.
    pub fn is_connected(&self, to: &Destination) -> bool {
        let now = now();
        let all = self.idle.borrow();
        let mut connections = all.get(to).into_iter().flatten();
        connections.any(|idle| idle.expires_at > now && idle.sender.is_ready())
    }

    /// Closes the idle connections to a destination.
    pub fn close_idle(&self, to: &Destination) {
        self.idle.borrow_mut().remove(to);
    }

    /// Keeps a connection for later requests, unless the remote side has closed it or it has carried as
    /// many as it may.
    pub(super) fn put_back(&self, mut connection: IdleConnection, headers: &HeaderMap) {
        if connection.sender.is_closed() || connection.carried.is_full() {
            return;
        }
        self.sweep();
        connection.expires_at = now().plus(idle_timeout(headers));
        let mut all = self.idle.borrow_mut();
        let destination = connection.destination.clone();
        all.entry(destination).or_default().push(connection);
    }

    /// Closes connections that have expired, every [`SWEEP_EVERY`]: no request looks for those to a
    /// destination that has gone.
    fn sweep(&self) {
        let now = now();
        if now.since(self.swept_at.get()) < SWEEP_EVERY {
            return;
        }
        self.swept_at.set(now);
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Returns the number of destinations to which connections are kept.
    pub fn destinations(&self) -> usize {
        self.idle.borrow().len()
    }
}

/// Returns for how long a connection may stay idle after a response with these headers.
fn idle_timeout(headers: &HeaderMap) -> Millis {
    let timeout_seconds = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let parts = text.split(',').map(str::trim);
        let timeout = parts.filter_map(|part| part.strip_prefix("timeout="));
        timeout
            .filter_map(|seconds| seconds.trim().parse().ok())
            .next()
    });
    timeout_seconds.map_or(IDLE_TIMEOUT_DEFAULT, |seconds| {
        Millis::from_secs(seconds).since(IDLE_MARGIN)
    })
}

/// Whether a status is a final one of HTTP. The library takes any number from 100 to 999 for a status,
/// and passes on a switch of protocols that nobody has asked for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
