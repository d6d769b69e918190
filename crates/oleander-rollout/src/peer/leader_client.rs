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
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection to a dispatcher.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Largest response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Client of the leading dispatcher, for the tasks of one thread.
#[derive(Debug)]
pub struct LeaderClient {
    view: SharedView,
    pool: Rc<Pool>,
    // Leader that another dispatcher named, with its epoch. It bridges a time without the store.
    hint: Cell<Option<(SocketAddr, u64)>>,
}

impl LeaderClient {
    /// Creates a client that finds the leader in `view`.
    pub fn new(view: SharedView) -> Rc<Self> {
        Rc::new(Self {
            view,
            pool: Pool::new(CONNECT_TIMEOUT),
            hint: Cell::new(None),
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
        match within(limit, exchange).await {
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

    /// Asks all known dispatchers at the same time for the leader, for a process that can't read it from
    /// the store, and tells them of the leader that the process does not reach, if it is an agent; waits
    /// for at most `limit`.
    pub async fn ask_for_leader(&self, limit: Millis, unreached: Option<&LeaderUnreached>) {
        let dispatchers: Vec<SocketAddr> = self.view.get().dispatchers.values().copied().collect();
        let body = match unreached.map(serde_json::to_vec).transpose() {
            Ok(body) => body.unwrap_or_default(),
            Err(err) => {
                event(log::Level::Error, "leader-report-failed", || {
                    format!("reason=\"{err}\"")
                });
                Vec::new()
            }
        };
        let asked = dispatchers.into_iter();
        join_all(asked.map(|addr| self.ask(addr, body.clone(), limit))).await;
    }

    /// Asks one dispatcher for the leader, and records it if its epoch is later than that of the last
    /// one that was named.
    async fn ask(&self, addr: SocketAddr, body: Vec<u8>, limit: Millis) {
        let method = if body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        let asked = self.call_at(addr, method, HEALTH, body, limit);
        // The caller logs that it has no leader.
        let Ok((StatusCode::OK, body)) = asked.await else {
            return;
        };
        let Ok(health) = serde_json::from_slice::<DispatcherHealth>(&body) else {
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
