//! Reads what a handler has left of a request's body before the response is sent.

use crate::process::runtime::within;
use trillium::{Conn, Handler, KnownHeaderName};

/// Longest wait for the rest of a body, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 200;

/// Reads the rest of the request's body before each response. A connection that is closed with
/// unread bytes is reset, and the reset may overtake the response.
#[derive(Clone, Copy, Debug)]
pub struct DrainBody;

#[trillium::async_trait]
impl Handler for DrainBody {
    async fn run(&self, conn: Conn) -> Conn {
        conn
    }

    async fn before_send(&self, mut conn: Conn) -> Conn {
        // A client that waits for a go-ahead has sent no body.
        if conn.request_headers().has_header(KnownHeaderName::Expect) {
            return conn;
        }
        let body = conn.request_body().await;
        match within(DRAIN_TIMEOUT_MS, body.drain()).await {
            Some(Ok(_)) => {}
            Some(Err(error)) => log::debug!("event=body-unread reason=\"{error}\""),
            None => log::debug!("event=body-unread reason=\"timeout\""),
        }
        conn
    }
}
