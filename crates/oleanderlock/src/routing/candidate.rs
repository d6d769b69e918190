//! Candidate for the choice of an endpoint.

use super::endpoint_entry::EndpointEntry;
use super::endpoint_load::EndpointLoad;

/// An endpoint that may be chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its entry in the platform's endpoint list.
    pub entry: &'a EndpointEntry,
    /// Its load and health as observed by this process.
    pub load: EndpointLoad,
}
