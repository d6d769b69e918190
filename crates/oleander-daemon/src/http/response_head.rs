//! Sends requests and reads the heads of their responses.

use derive_more::{Display, Error};
use futures_util::FutureExt as _;
use std::panic::AssertUnwindSafe;
use trillium_client::Conn;

/// Why a request has no head of a response.
#[derive(Debug, Display, Error)]
pub enum HeadError {
    /// The client has none.
    #[display("{_0}")]
    Client(trillium_client::Error),
    /// The status is no final one of HTTP, or one that the client doesn't know.
    #[display("an odd status")]
    OddStatus,
}

/// Sends a request and waits for the head of its response, which has a final status of HTTP.
///
/// # Errors
///
/// [`HeadError`].
pub async fn read_head(conn: Conn) -> Result<Conn, HeadError> {
    // The client panics at a status that it doesn't know, such as 000.
    let read = AssertUnwindSafe(conn.into_future()).catch_unwind().await;
    let read = read.map_err(|_| HeadError::OddStatus)?;
    let conn = read.map_err(HeadError::Client)?;
    let status = conn.status().map_or(0, |status| status as u16);
    if (200..600).contains(&status) {
        Ok(conn)
    } else {
        Err(HeadError::OddStatus)
    }
}
