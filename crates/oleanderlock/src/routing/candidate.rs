//! An endpoint that may be chosen.

use super::endpoint_entry::EndpointEntry;
use super::endpoint_load::EndpointLoad;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What the list says of it.
    pub entry: &'a EndpointEntry,
    /// What this process has seen of it.
    pub load: EndpointLoad,
}
