//! Answers of a stand-in: JSON, errors, and connections that break.

use futures_lite::AsyncRead;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use trillium::{Body, Conn, Handler};
use trillium_client::Url;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Adapts an async function of a state and a connection to a handler.
pub fn with<S, Fut>(state: &S, f: fn(S, Conn) -> Fut) -> impl Handler + use<S, Fut>
where
    S: Clone + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let state = state.clone();
    move |conn: Conn| f(state.clone(), conn)
}

/// Answers with `value` as JSON.
pub fn json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let body = serde_json::to_vec(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt()
}

/// Answers `{"error":message}`.
pub fn error(conn: Conn, status: u16, message: &str) -> Conn {
    json(conn, status, &ErrorBody { error: message })
}

/// Reads the request body as JSON; the error is the answer to send.
pub async fn read<T: DeserializeOwned>(mut conn: Conn) -> Result<(Conn, T), Conn> {
    let Ok(body) = conn.request_body_string().await else {
        return Err(error(conn, 400, "the body is not UTF-8 text"));
    };
    match serde_json::from_str(&body) {
        Ok(value) => Ok((conn, value)),
        Err(e) => Err(error(conn, 400, &e.to_string())),
    }
}

/// Returns the decoded value of query parameter `name`.
pub fn query(conn: &Conn, name: &str) -> Option<String> {
    let url = format!("http://host/?{}", conn.querystring());
    let url = Url::parse(&url).ok()?;
    url.query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Closes the connection without sending any byte of an answer.
///
/// The response head is still buffered when the body fails, so the server drops both.
pub fn break_connection(conn: Conn) -> Conn {
    conn.with_status(200)
        .with_body(Body::new_streaming(BrokenBody, Some(1)))
        .halt()
}

struct BrokenBody;

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}
