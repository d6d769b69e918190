//! Client of the platform's API.

use super::platform_api_outcome::PlatformApiOutcome;
use crate::http::destination::Destination;
use crate::http::pool::Pool;
use crate::http::reuse::Reuse;
use crate::http::send_error::SendError;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::duty_call::{DUTY_HOLDER, FENCE_TOKEN};
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Millis = Millis(800);
/// Longest wait for the response to a call.
const CALL_TIMEOUT: Millis = Millis(1000);
/// Largest response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Client of the platform's API, for the tasks of one thread.
#[derive(Debug)]
pub(super) struct PlatformApi {
    pool: Rc<Pool>,
    addr: SocketAddr,
    holder: String,
}

impl PlatformApi {
    /// Returns a client of the API at `addr` that calls in the name of the node `holder`.
    pub(super) fn new(addr: SocketAddr, holder: &str) -> Self {
        Self {
            pool: Pool::new(CONNECT_TIMEOUT),
            addr,
            holder: holder.to_owned(),
        }
    }

    /// Sends a call, unless `may_send` returns false when the connection is open.
    pub(super) async fn call(
        &self,
        path: &str,
        fence: u64,
        body: Vec<u8>,
        may_send: impl Fn() -> bool,
    ) -> PlatformApiOutcome {
        let body = Bytes::from(body);
        let build = || {
            if !may_send() {
                return Err(SendError::Withheld { reason: "duty" });
            }
            Request::builder()
                .method(Method::POST)
                .uri(path)
                .header(HOST, self.addr.to_string())
                .header(CONTENT_TYPE, "application/json")
                .header(DUTY_HOLDER, &self.holder)
                .header(FENCE_TOKEN, fence)
                .body(Full::new(body.clone()))
                .map_err(SendError::not_sent)
        };
        let exchange = async {
            let to = Destination::any(self.addr);
            let exchange = self.pool.send_built(&to, Reuse::Any, build).await?;
            exchange.collect(RESPONSE_MAX_BYTES).await
        };
        match within(CALL_TIMEOUT, exchange).await {
            None => PlatformApiOutcome::Again("timeout".to_owned()),
            Some(Err(SendError::Withheld { .. })) => PlatformApiOutcome::Withheld,
            Some(Err(error)) => PlatformApiOutcome::Again(error.to_string()),
            Some(Ok((head, _))) => outcome_of(head.status),
        }
    }
}

fn outcome_of(status: StatusCode) -> PlatformApiOutcome {
    let text = format!("status {}", status.as_u16());
    match status {
        status if status.is_success() => PlatformApiOutcome::Taken,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            PlatformApiOutcome::Rejected(text)
        }
        _ => PlatformApiOutcome::Again(text),
    }
}
