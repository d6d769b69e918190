//! Calls to the agent's engine.

use crate::http::destination::Destination;
use crate::http::exchange::Exchange;
use crate::http::pool::Pool;
use crate::http::send_error::SendError;
use crate::peer::messages::WorkItem;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::engine_report::{EngineReport, decode_report};
use oleander_platform::job::body_bytes;
use oleander_platform::load_order::{LoadOrder, encode_load_order};
use oleander_platform::{headers, paths};
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
}

impl EngineClient {
    /// Returns a client of the engine at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            pool: Pool::new(CONNECT_TIMEOUT),
        }
    }

    /// Returns the engine's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the report of the engine.
    ///
    /// # Errors
    ///
    /// Why there is no report; [`SendError::NoAnswer`] also when it can't be decoded.
    pub async fn report(&self) -> Result<EngineReport, SendError> {
        let req = Request::builder()
            .method(Method::GET)
            .uri(paths::REPORT)
            .header(HOST, self.addr.to_string())
            .body(Full::default())
            .map_err(SendError::not_sent)?;
        let (_, body) = self.exchange("", req).await?;
        decode_report(&body).map_err(SendError::no_answer)
    }

    /// Orders a load of weights, if the engine is still `instance`; returns the status of the
    /// response.
    ///
    /// # Errors
    ///
    /// Why there is no response; after [`SendError::NoAnswer`] the order may still be carried out,
    /// also some time later.
    pub async fn order_load(
        &self,
        instance: &str,
        order: &LoadOrder<'_>,
    ) -> Result<StatusCode, SendError> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(paths::ORDER)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::EXPECT_INSTANCE, instance)
            .body(Full::new(Bytes::from(encode_load_order(order))))
            .map_err(SendError::not_sent)?;
        let (status, _) = self.exchange(instance, req).await?;
        Ok(status)
    }

    async fn exchange(
        &self,
        instance: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let to = self.destination(instance);
        let exchange = async {
            let exchange = self.pool.send(&to, req).await?;
            exchange.collect(RESPONSE_MAX_BYTES).await
        };
        let result = within(CALL_TIMEOUT, exchange).await;
        let (head, body) = result.unwrap_or_else(|| Err(SendError::no_answer("timeout")))?;
        Ok((head.status, body))
    }

    /// Starts a run of an item that resumes after event `last_event`, if the engine is still
    /// `instance`.
    ///
    /// # Errors
    ///
    /// Why there is no response.
    pub async fn run(
        &self,
        work: &WorkItem,
        instance: &str,
        last_event: u64,
    ) -> Result<Exchange, SendError> {
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
        if last_event > 0 {
            let name = HeaderName::from_static(headers::LAST_EVENT_ID);
            added.push((name, last_event.to_string()));
        }
        for (name, value) in added {
            let value = HeaderValue::from_str(&value).map_err(SendError::not_sent)?;
            header_map.insert(name, value);
        }
        self.pool.send(&self.destination(instance), req).await
    }

    fn destination(&self, instance: &str) -> Destination {
        Destination {
            addr: self.addr,
            instance: instance.to_owned(),
        }
    }
}
