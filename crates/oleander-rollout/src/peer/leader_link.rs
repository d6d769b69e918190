//! Calls to the dispatcher that leads.

use super::messages::DispatcherHealth;
use crate::http::pool::{Destination, Pool};
use crate::http::send_fault::SendFault;
use crate::prelude::*;
use crate::store::view::SharedView;
use derive_more::{Display, Error};
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection to a peer.
const CONNECT_LIMIT: Millis = Millis(400);
/// Greatest answer of a peer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Why the leader did not answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LeaderFault {
    /// No leader is known.
    #[display("no leader known")]
    Unknown,
    /// The process that should lead does not.
    #[display("it does not lead")]
    NotLeading,
    /// The leader can't be sure now.
    #[display("it can't be sure")]
    Unsure,
    /// It was not reached, or its answer was lost.
    #[display("{reason}")]
    NoAnswer {
        /// What failed.
        reason: String,
    },
}

/// Calls to the dispatcher that leads.
#[derive(Debug)]
pub struct LeaderLink {
    view: SharedView,
    pool: Rc<Pool>,
    // What a dispatcher said of the leader while the store did not; with its epoch.
    hint: Cell<Option<(SocketAddr, u64)>>,
}

impl LeaderLink {
    /// A link that goes by the view.
    pub fn new(view: SharedView) -> Rc<Self> {
        Rc::new(Self {
            view,
            pool: Pool::new(CONNECT_LIMIT),
            hint: Cell::new(None),
        })
    }

    /// Returns the address of the leader that is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        let view = self.view.get();
        let told = view.leader.as_ref();
        let told = told.and_then(|(leader, _)| leader.addr.map(|addr| (addr, leader.epoch)));
        match (told, self.hint.get()) {
            (Some(told), Some(hint)) if hint.1 > told.1 => Some(hint.0),
            (Some(told), _) => Some(told.0),
            (None, hint) => hint.map(|(addr, _)| addr),
        }
    }

    /// Calls the leader.
    ///
    /// # Errors
    ///
    /// An error; the call may have taken effect only after [`LeaderFault::NoAnswer`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), LeaderFault> {
        let addr = self.leader().ok_or(LeaderFault::Unknown)?;
        let (status, body) = self.call_at(addr, method, path, body, limit).await?;
        match status {
            StatusCode::MISDIRECTED_REQUEST => Err(LeaderFault::NotLeading),
            StatusCode::SERVICE_UNAVAILABLE => Err(LeaderFault::Unsure),
            _ => Ok((status, body)),
        }
    }

    /// Calls one dispatcher.
    ///
    /// # Errors
    ///
    /// [`LeaderFault::NoAnswer`].
    pub async fn call_at(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), LeaderFault> {
        let no_answer = |reason: String| LeaderFault::NoAnswer { reason };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| no_answer(err.to_string()))?;
        let exchange = async {
            let exchange = self.pool.send(&Destination::any(addr), req).await?;
            exchange.whole(ANSWER_MAX_BYTES).await
        };
        match within(limit, exchange).await {
            None => Err(no_answer("timeout".to_owned())),
            Some(Err(SendFault::NotSent { reason } | SendFault::NoAnswer { reason })) => {
                Err(no_answer(reason))
            }
            Some(Ok((head, body))) => Ok((head.status, body)),
        }
    }

    /// Asks the known dispatchers who leads, for a process that the store does not tell.
    pub async fn ask_for_leader(&self, limit: Millis) {
        let dispatchers: Vec<SocketAddr> = self.view.get().dispatchers.values().copied().collect();
        for addr in dispatchers {
            let asked = self.call_at(
                addr,
                Method::GET,
                super::messages::HEALTH,
                Vec::new(),
                limit,
            );
            let Ok((_, body)) = asked.await else {
                continue;
            };
            let Ok(health) = serde_json::from_slice::<DispatcherHealth>(&body) else {
                continue;
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
}
