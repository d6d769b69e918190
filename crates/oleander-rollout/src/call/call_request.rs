//! A call that is to be sent to an endpoint of a service.

use crate::prelude::*;
use http::{HeaderMap, Method, Uri};
use oleanderlock::routing::route_kind::RouteKind;

/// A call that is to be sent to an endpoint of a service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Id that the answer must echo.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers to send, without those of one connection, deadline and instance.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Service that runs it.
    pub service: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most endpoints that may run it.
    pub attempts: u32,
    /// Time within which an answer is worth most.
    pub objective: Millis,
    /// Point after which nobody waits for the answer.
    pub deadline: Millis,
}
