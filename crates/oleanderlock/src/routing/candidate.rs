//! Candidate for the choice of an endpoint.

use super::endpoint_entry::EndpointEntry;
use super::endpoint_load::EndpointLoad;
use crate::prelude::*;

/// An endpoint that may be chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its entry in the platform's endpoint list.
    pub entry: &'a EndpointEntry,
    /// Its load and health as observed by this process.
    pub load: EndpointLoad,
    /// How long a call has to wait for the rate limit that the endpoint has named.
    pub limit_delay: Millis,
}
