//! Responses with a JSON body.

use serde::Serialize;
use trillium::{Conn, Status};

/// Sends a JSON body with the given status and ends the handling of the request.
pub fn json_response(conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    let text = serde_json::to_string(body).unwrap_or_default();
    conn.with_response_header("content-type", "application/json")
        .with_status(status)
        .with_body(text)
        .halt()
}
