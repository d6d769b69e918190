//! A stream whose response has begun.

use super::demand_guard::DemandGuard;
use crate::http::exchange::Exchange;
use crate::prelude::*;
use oleanderlock::routing::endpoint_entry::EndpointEntry;

/// A stream whose response has begun; its body has not been read yet.
#[derive(Debug)]
pub struct OpenedStream {
    /// The response.
    pub exchange: Exchange,
    /// The endpoint that sends it.
    pub endpoint: EndpointEntry,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Counts the stream as running at the endpoint.
    pub demand: Option<DemandGuard>,
}
