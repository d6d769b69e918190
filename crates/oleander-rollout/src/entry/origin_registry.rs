//! What began the streams of this entry and, as dispatchers know it, those of others.
//!
//! A client resumes a broken stream at any entry and names only its own attempt. The entry that
//! began the stream may be gone by then, so each stream is recorded at several dispatchers before
//! its first event is relayed. Nothing is guessed: a stream that no one knows is not resumed.

use crate::peer::leader_client::{ASKED_MAX, LeaderClient};
use crate::peer::messages::{STREAM_BEGUN, STREAM_ORIGIN, StreamQuery, StreamRecord};
use crate::prelude::*;
use crate::store::shared_view::SharedView;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::{Method, StatusCode};
use oleanderlock::rendezvous::top;
use oleanderlock::routing::stream_origin::StreamOrigin;
use oleanderlock::routing::stream_origins::StreamOrigins;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Dispatchers at which a stream is recorded, the first ones for its id that answer: two may be lost
/// at once.
const KEEPERS: usize = 3;
/// Dispatchers that are asked for a stream: some of those that are listed may be gone.
const ASKED: usize = 8;
/// Streams of this entry that are remembered.
const OWN_RECORDS_MAX: usize = 8192;
/// Longest time for which the first event of a stream waits for its record.
const RECORD_WAIT: Millis = Millis(100);
/// Timeout of a call that records a stream.
const RECORD_TIMEOUT: Millis = Millis(1000);
/// Timeout of asking a dispatcher for a stream.
const ASK_TIMEOUT: Millis = Millis(400);

/// What began the streams of this entry and, as dispatchers know it, those of others.
#[derive(Debug)]
pub struct OriginRegistry {
    view: SharedView,
    client: Rc<LeaderClient>,
    own: RefCell<StreamOrigins>,
}

impl OriginRegistry {
    /// Returns a registry that records streams at the dispatchers in `view`.
    pub fn new(view: SharedView, client: Rc<LeaderClient>) -> Rc<Self> {
        Rc::new(Self {
            view,
            client,
            own: RefCell::new(StreamOrigins::new(OWN_RECORDS_MAX)),
        })
    }

    /// Records what began a stream. Returns once a dispatcher has the record, or after
    /// [`RECORD_WAIT`]; the others follow.
    pub async fn record(self: &Rc<Self>, stream: &str, origin: StreamOrigin) {
        self.own.borrow_mut().record(stream, origin.clone());
        let record = StreamRecord {
            stream: stream.to_owned(),
            origin,
        };
        let Some(body) = encode(&record) else {
            return;
        };
        let (recorded, confirmed) = smol::channel::bounded(1);
        let this = Rc::clone(self);
        let keepers = self.dispatchers(stream, ASKED_MAX);
        spawn(async move {
            let mut calls = keepers.into_iter().map(|addr| this.record_at(addr, &body));
            let mut running: FuturesUnordered<_> = calls.by_ref().take(KEEPERS).collect();
            while let Some(is_recorded) = running.next().await {
                if is_recorded {
                    // Full or closed if an earlier dispatcher has confirmed it.
                    let _ = recorded.try_send(());
                } else {
                    running.extend(calls.next());
                }
            }
        });
        let confirmed = within(RECORD_WAIT, confirmed.recv()).await;
        if !matches!(confirmed, Some(Ok(()))) {
            event(log::Level::Warn, "stream-not-recorded", || {
                format!("request={stream}")
            });
        }
    }

    async fn record_at(&self, addr: SocketAddr, body: &[u8]) -> bool {
        let call = self.client.call_at(
            addr,
            Method::POST,
            STREAM_BEGUN,
            body.to_vec(),
            RECORD_TIMEOUT,
        );
        matches!(call.await, Ok((StatusCode::OK, _)))
    }

    /// Returns what began a stream; `None` if neither this entry nor a dispatcher knows it.
    pub async fn find(&self, stream: &str) -> Option<StreamOrigin> {
        let own = self.own.borrow().get(stream).cloned();
        if own.is_some() {
            return own;
        }
        let query = StreamQuery {
            stream: stream.to_owned(),
        };
        let body = encode(&query)?;
        let asked = self.dispatchers(stream, ASKED);
        let calls = asked.iter().map(|addr| self.ask(*addr, &body));
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut answered = 0;
        while let Some(answer) = calls.next().await {
            let Some(origin) = answer else {
                continue;
            };
            answered += 1;
            if origin.is_some() {
                return origin;
            }
        }
        event(log::Level::Info, "stream-unknown", || {
            format!(
                "stream={stream:?} asked={} answered={answered}",
                asked.len()
            )
        });
        None
    }

    /// Returns the answer of one dispatcher; `None` without an answer.
    async fn ask(&self, addr: SocketAddr, body: &[u8]) -> Option<Option<StreamOrigin>> {
        let call = self.client.call_at(
            addr,
            Method::POST,
            STREAM_ORIGIN,
            body.to_vec(),
            ASK_TIMEOUT,
        );
        match call.await {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Returns the `count` dispatchers that come first for a stream; those that have failed lately come last.
    fn dispatchers(&self, stream: &str, count: usize) -> Vec<SocketAddr> {
        let view = self.view.get();
        let names = view.dispatchers.keys();
        let ranked = top(stream, names, String::as_str, view.dispatchers.len());
        let mut addrs: Vec<SocketAddr> =
            ranked.iter().map(|name| view.dispatchers[*name]).collect();
        addrs.sort_by_key(|addr| self.client.has_failed(addr));
        addrs.truncate(count);
        addrs
    }
}

/// Returns a message as JSON; `None`, with a log line, if it can't be encoded.
fn encode(message: &impl serde::Serialize) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(message);
    let encoded = encoded.inspect_err(|err| {
        event(log::Level::Error, "message-unwritable", || {
            format!("reason=\"{err}\"")
        });
    });
    encoded.ok()
}
