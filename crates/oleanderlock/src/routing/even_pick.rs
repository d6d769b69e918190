//! The endpoint that the even choice took, and why.

use super::endpoint_entry::EndpointEntry;
use super::even_reason::EvenReason;
use crate::prelude::*;

/// The endpoint that the even choice took, and why.
#[derive(Clone, Copy, Debug)]
pub struct EvenPick<'a> {
    /// The endpoint.
    pub entry: &'a EndpointEntry,
    /// Number of endpoints among which it was taken.
    pub candidates: usize,
    /// Age of what is known of it; `None` if nothing is.
    pub age: Option<Millis>,
    /// Why it was taken.
    pub reason: EvenReason,
}
