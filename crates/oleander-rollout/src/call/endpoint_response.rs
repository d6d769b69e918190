//! The response of one endpoint to a call.

use crate::http::blocks::Blocks;
use http::response::Parts;

/// The complete response of one endpoint to a call.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status and headers.
    pub head: Parts,
    /// Whole body.
    pub body: Blocks,
    /// Endpoints that responded to this call with status 500, this one included.
    pub failures: u32,
    /// Whether the call was the first request on its connection.
    pub first_on_connection: bool,
}
