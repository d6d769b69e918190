//! Calls to the agent's engine.

use crate::call::leaving_registry::LeavingRegistry;
use crate::call::limit_registry::LimitRegistry;
use crate::call::request_kind::RequestKind;
use crate::call::send_condition::SendCondition;
use crate::http::destination::Destination;
use crate::http::exchange::Exchange;
use crate::http::pool::Pool;
use crate::http::reuse::Reuse;
use crate::http::send_error::SendError;
use crate::peer::messages::WorkItem;
use crate::prelude::*;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use http::response::Parts;
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::engine_report::{EngineReport, decode_report};
use oleander_platform::job::body_bytes;
use oleander_platform::load_order::{LoadOrder, encode_load_order};
use oleander_platform::priority::engine_priority;
use oleander_platform::{headers, paths};
use oleanderlock::routing::announcer::Announcer;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout of opening a connection to the engine.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Timeout of reading a report or ordering a load.
const CALL_TIMEOUT: Millis = Millis(1000);
/// Longest body of a response that is not a stream, in bytes.
const RESPONSE_MAX_BYTES: usize = 1 << 20;

/// Calls to the agent's engine.
#[derive(Debug)]
pub struct EngineClient {
    addr: SocketAddr,
    pool: Rc<Pool>,
    leaving: Rc<LeavingRegistry>,
    limits: Rc<LimitRegistry>,
}

impl EngineClient {
    /// Returns a client of the engine at `addr` that records in `leaving` when the engine says that
    /// it is leaving, and in `limits` the rate limit that it names.
    pub fn new(addr: SocketAddr, leaving: Rc<LeavingRegistry>, limits: Rc<LimitRegistry>) -> Self {
        Self {
            addr,
            pool: Pool::new(CONNECT_TIMEOUT),
            leaving,
            limits,
        }
    }

    /// Returns the engine's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the report of the engine, if it is still the listed endpoint `listed`; without that, of
    /// any engine. Returns `None` if the engine is another one.
    ///
    /// # Errors
    ///
    /// Why there is no report; [`SendError::NoAnswer`] also when it can't be decoded.
    pub async fn report(
        &self,
        listed: Option<&EndpointEntry>,
    ) -> Result<Option<EngineReport>, SendError> {
        let mut req = Request::builder()
            .method(Method::GET)
            .uri(paths::REPORT)
            .header(HOST, self.addr.to_string());
        if let Some(listed) = listed {
            req = req.header(headers::EXPECT_INSTANCE, &listed.instance);
        }
        let req = req.body(Full::default()).map_err(SendError::not_sent)?;
        let (mut sent_at, mut asked) = (now(), unix_ms());
        // A repeated report from before the engine named its limit would lift the limit. Otherwise, an
        // earlier report of the same process does no harm.
        let limited = listed.is_some_and(|listed| self.limits.is_limited(&listed.instance));
        let reuse = if limited { Reuse::Never } else { Reuse::Any };
        let (mut head, mut body) = self.exchange("", req.clone(), reuse).await?;
        if head.status == StatusCode::MISDIRECTED_REQUEST && reuse != Reuse::Never {
            // It may be the late copy of the answer about another entry.
            (sent_at, asked) = (now(), unix_ms());
            (head, body) = self.exchange("", req, Reuse::Never).await?;
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST && listed.is_some() {
            return Ok(None);
        }
        if head.status != StatusCode::OK {
            return Err(SendError::no_answer(head.status));
        }
        let report = decode_report(&body).map_err(SendError::no_answer)?;
        if let Some(listed) = listed {
            let by_list = Announcer::Listed {
                listed: listed.started_unix_ms,
                asked,
            };
            let announcer = report.started_unix_ms.map_or(by_list, Announcer::StartedAt);
            self.leaving
                .read(&head.headers, &listed.instance, announcer);
            self.read_limit(&head, listed, (RequestKind::Report, sent_at));
        }
        Ok(Some(report))
    }

    /// Orders a load of weights, if the engine is still the listed `endpoint`; returns the status
    /// of the response.
    ///
    /// # Errors
    ///
    /// Why there is no response; after [`SendError::NoAnswer`] the order may still be carried out,
    /// also some time later.
    pub async fn order_load(
        &self,
        endpoint: &EndpointEntry,
        order: &LoadOrder<'_>,
    ) -> Result<StatusCode, SendError> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(paths::ORDER)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::EXPECT_INSTANCE, &endpoint.instance)
            .body(Full::new(Bytes::from(encode_load_order(order))))
            .map_err(SendError::not_sent)?;
        let (sent_at, asked) = (now(), unix_ms());
        self.limits
            .record_sent(&endpoint.instance, RequestKind::Order, "");
        let (head, _) = self.exchange(&endpoint.instance, req, Reuse::Never).await?;
        self.read_leaving(&head, endpoint, asked);
        self.read_limit(&head, endpoint, (RequestKind::Order, sent_at));
        Ok(head.status)
    }

    async fn exchange(
        &self,
        instance: &str,
        req: Request<Full<Bytes>>,
        reuse: Reuse<'_>,
    ) -> Result<(Parts, Bytes), SendError> {
        let to = self.destination(instance);
        let exchange = async {
            let build = || Ok(req.clone());
            let exchange = self.pool.send_built(&to, reuse, build).await?;
            exchange.expect_no_id()?.collect(RESPONSE_MAX_BYTES).await
        };
        let result = within(CALL_TIMEOUT, exchange).await;
        result.unwrap_or_else(|| Err(SendError::no_answer("timeout")))
    }

    /// Starts a run of an item that resumes after event `last_event`, if the engine is still the
    /// listed `endpoint` and `condition` holds.
    ///
    /// # Errors
    ///
    /// Why there is no response; [`SendError::Withheld`] when the engine has said that it is leaving, or
    /// the condition doesn't hold.
    pub async fn run(
        &self,
        work: &WorkItem,
        endpoint: &EndpointEntry,
        last_event: u64,
        condition: &SendCondition,
    ) -> Result<Exchange, SendError> {
        let build = || {
            if !condition.holds() {
                return Err(SendError::Withheld {
                    reason: "unconfirmed",
                });
            }
            if self.leaving.contains(endpoint) {
                return Err(SendError::Withheld { reason: "leaving" });
            }
            let message = run_message(work, &endpoint.instance, last_event)?;
            let id = &work.key.item;
            self.limits
                .record_sent(&endpoint.instance, RequestKind::Run, id);
            Ok(message)
        };
        let to = self.destination(&endpoint.instance);
        let asked = unix_ms();
        let mut exchange = self
            .pool
            .send_built(&to, Reuse::OncePerId(&work.key.item), build)
            .await?;
        if self.read_leaving(&exchange.head, endpoint, asked) {
            exchange.close_after_body();
        }
        let (headers, instance) = (&exchange.head.headers, &endpoint.instance);
        if !exchange.may_answer(&work.key.item) {
            self.limits
                .read_foreign(headers, instance, RequestKind::Run);
        } else if exchange.head.status != StatusCode::MISDIRECTED_REQUEST {
            self.limits.read_head(headers, instance, RequestKind::Run);
        }
        Ok(exchange)
    }

    /// Reads from a response to a request that was sent at the Unix time `asked`, in milliseconds, whether
    /// the engine is leaving; if so, closes idle connections to it.
    fn read_leaving(&self, head: &Parts, endpoint: &EndpointEntry, asked: u64) -> bool {
        let (instance, listed) = (&endpoint.instance, endpoint.started_unix_ms);
        let announcer = Announcer::Listed { listed, asked };
        let is_leaving = self.leaving.read(&head.headers, instance, announcer);
        if is_leaving {
            self.pool.close_idle(&self.destination(instance));
        }
        is_leaving
    }

    /// Reads from a whole response the rate limit that the engine names.
    fn read_limit(
        &self,
        head: &Parts,
        endpoint: &EndpointEntry,
        (kind, sent_at): (RequestKind, Millis),
    ) {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let instance = &endpoint.instance;
            self.limits.read_head(&head.headers, instance, kind);
            self.limits
                .read_whole(&head.headers, instance, (kind, sent_at));
        }
    }

    fn destination(&self, instance: &str) -> Destination {
        Destination {
            addr: self.addr,
            instance: instance.to_owned(),
        }
    }
}

/// Builds the request of a run.
fn run_message(
    work: &WorkItem,
    instance: &str,
    last_event: u64,
) -> Result<Request<Full<Bytes>>, SendError> {
    let mut req = Request::builder()
        .method(Method::POST)
        .uri(work.item.path.as_str())
        .body(Full::new(Bytes::from(body_bytes(&work.item.body_base64))))
        .map_err(SendError::not_sent)?;
    let header_map = req.headers_mut();
    for (name, value) in &work.item.headers {
        let name = name.parse::<HeaderName>().map_err(SendError::not_sent)?;
        let value = HeaderValue::from_str(value).map_err(SendError::not_sent)?;
        header_map.insert(name, value);
    }
    let mut added = vec![
        (HOST, work.host.clone()),
        (
            HeaderName::from_static(headers::REQUEST_ID),
            work.key.item.clone(),
        ),
        (
            HeaderName::from_static(headers::EXPECT_INSTANCE),
            instance.to_owned(),
        ),
    ];
    if let Some(workspace) = &work.workspace {
        // The trainer may have put a key into the headers of the item.
        header_map.remove(AUTHORIZATION);
        added.push((
            HeaderName::from_static(headers::WORKSPACE),
            workspace.clone(),
        ));
    }
    if let Some(rank) = work.rank {
        let name = HeaderName::from_static(headers::PRIORITY);
        added.push((name, engine_priority(rank).to_string()));
    }
    if last_event > 0 {
        let name = HeaderName::from_static(headers::LAST_EVENT_ID);
        added.push((name, last_event.to_string()));
    }
    for (name, value) in added {
        let value = HeaderValue::from_bytes(value.as_bytes()).map_err(SendError::not_sent)?;
        header_map.insert(name, value);
    }
    Ok(req)
}
