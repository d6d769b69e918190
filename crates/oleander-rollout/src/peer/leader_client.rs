//! Client of the leading dispatcher.

use super::leader_error::LeaderError;
use super::messages::{DispatcherHealth, HEALTH, LeaderUnreached};
use crate::http::destination::Destination;
use crate::http::pool::Pool;
use crate::http::send_error::SendError;
use crate::prelude::*;
use crate::store::shared_view::SharedView;
use futures_util::future::join_all;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oleanderlock::dispatchers::peer_reach::PeerReach;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection to a dispatcher.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Largest response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Dispatchers that are asked at the same time, however many are registered.
pub const ASKED_MAX: usize = 32;
/// Longest wait for the answer of a dispatcher that is probed.
const PROBE_TIMEOUT: Millis = Millis(400);

/// Client of the leading dispatcher, for the tasks of one thread.
#[derive(Debug)]
pub struct LeaderClient {
    view: SharedView,
    pool: Rc<Pool>,
    // Leader that another dispatcher named, with its epoch. It bridges a time without the store.
    hint: Cell<Option<(SocketAddr, u64)>>,
    reach: RefCell<PeerReach>,
}

impl LeaderClient {
    /// Creates a client that finds the leader in `view`.
    pub fn new(view: SharedView) -> Rc<Self> {
        Rc::new(Self {
            view,
            pool: Pool::new(CONNECT_TIMEOUT),
            hint: Cell::new(None),
            reach: RefCell::default(),
        })
    }

    /// Returns the address of the leader with the highest known epoch.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader_and_epoch().map(|(addr, _)| addr)
    }

    /// Returns the epoch of the leader that [`Self::call`] calls; `None` if no leader is known.
    pub fn epoch(&self) -> Option<u64> {
        self.leader_and_epoch().map(|(_, epoch)| epoch)
    }

    fn leader_and_epoch(&self) -> Option<(SocketAddr, u64)> {
        let view = self.view.get();
        let stored = view.leader.as_ref();
        let stored = stored.and_then(|(leader, _)| leader.addr.map(|addr| (addr, leader.epoch)));
        match (stored, self.hint.get()) {
            (Some(stored), Some(hint)) if hint.1 > stored.1 => Some(hint),
            (Some(stored), _) => Some(stored),
            (None, hint) => hint,
        }
    }

    /// Calls the leader and waits for at most `limit`.
    ///
    /// # Errors
    ///
    /// [`LeaderError`]. After [`LeaderError::NoAnswer`] the call may have taken effect.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), LeaderError> {
        let addr = self.leader().ok_or(LeaderError::Unknown)?;
        let (status, body) = self.call_at(addr, method, path, body, limit).await?;
        match status {
            StatusCode::MISDIRECTED_REQUEST => Err(LeaderError::NotLeading),
            StatusCode::SERVICE_UNAVAILABLE => Err(LeaderError::Unsure),
            _ => Ok((status, body)),
        }
    }

    /// Calls the dispatcher at `addr`, whether it leads or not, and waits for at most `limit`.
    ///
    /// # Errors
    ///
    /// [`LeaderError::NotReached`] and [`LeaderError::NoAnswer`]; a response with an error status is no
    /// error.
    pub async fn call_at(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), LeaderError> {
        let no_answer = |reason: String| LeaderError::NoAnswer { reason };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| no_answer(err.to_string()))?;
        let exchange = async {
            let exchange = self.pool.send(&Destination::any(addr), req).await?;
            exchange.collect(RESPONSE_MAX_BYTES).await
        };
        let ended = within(limit, exchange).await;
        let answered = matches!(&ended, Some(Ok(_)));
        self.reach.borrow_mut().record(now(), addr, answered);
        match ended {
            None => Err(no_answer("timeout".to_owned())),
            Some(Err(error @ (SendError::NotSent { .. } | SendError::Withheld { .. }))) => {
                Err(LeaderError::NotReached {
                    reason: error.reason().to_owned(),
                })
            }
            Some(Err(SendError::NoAnswer { reason })) => Err(no_answer(reason)),
            Some(Ok((head, body))) => Ok((head.status, body)),
        }
    }

    /// Returns the registered dispatchers to ask when any of them will do, at most [`ASKED_MAX`]; those that
    /// have answered lately come first.
    pub fn dispatchers(&self) -> Vec<SocketAddr> {
        let view = self.view.get();
        let registered = view.dispatchers.values().copied();
        self.reach.borrow().order(now(), registered, ASKED_MAX)
    }

    /// Whether the last call to a dispatcher has failed lately.
    pub fn has_failed(&self, addr: &SocketAddr) -> bool {
        self.reach.borrow().has_failed(now(), addr)
    }

    /// Whether the dispatcher `node` answers at `addr`. Another one may be there by now.
    pub async fn is_dispatcher(&self, addr: SocketAddr, node: &str) -> bool {
        let health = self.health(addr, Vec::new(), PROBE_TIMEOUT).await;
        health.is_some_and(|health| health.node.is_empty() || health.node == node)
    }

    /// Returns the health of the dispatcher at `addr`; `None` if none answers there within `limit`.
    async fn health(
        &self,
        addr: SocketAddr,
        body: Vec<u8>,
        limit: Millis,
    ) -> Option<DispatcherHealth> {
        let method = if body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        let answer = self.call_at(addr, method, HEALTH, body, limit).await.ok()?;
        let health = Some(answer).filter(|(status, _)| *status == StatusCode::OK);
        let health = health.and_then(|(_, body)| serde_json::from_slice(&body).ok());
        if health.is_none() {
            // What answers is no dispatcher.
            self.reach.borrow_mut().record(now(), addr, false);
        }
        health
    }

    /// Asks [dispatchers](Self::dispatchers) at the same time for the leader, for a process that can't
    /// read it from the store, and tells them of the leader that the process does not reach, if it is
    /// an agent; waits for at most `limit`.
    pub async fn ask_for_leader(&self, limit: Millis, unreached: Option<&LeaderUnreached>) {
        let body = match unreached.map(serde_json::to_vec).transpose() {
            Ok(body) => body.unwrap_or_default(),
            Err(err) => {
                event(log::Level::Error, "leader-report-failed", || {
                    format!("reason=\"{err}\"")
                });
                Vec::new()
            }
        };
        let asked = self.dispatchers().into_iter();
        join_all(asked.map(|addr| self.ask(addr, body.clone(), limit))).await;
    }

    /// Asks one dispatcher for the leader, and records it if its epoch is later than that of the last
    /// one that was named.
    async fn ask(&self, addr: SocketAddr, body: Vec<u8>, limit: Millis) {
        // The caller logs that it has no leader.
        let Some(health) = self.health(addr, body, limit).await else {
            return;
        };
        let named = if health.leads {
            Some(addr)
        } else {
            health.leader
        };
        let newer = self
            .hint
            .get()
            .is_none_or(|(_, epoch)| health.epoch > epoch);
        if let Some(leader) = named.filter(|_| newer) {
            self.hint.set(Some((leader, health.epoch)));
            event(log::Level::Info, "leader-hint", || {
                format!("epoch={} leader={leader} from={addr}", health.epoch)
            });
        }
    }
}
