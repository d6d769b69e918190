//! What became of a request or of one of its attempts.

use crate::prelude::*;
use bytes::Bytes;

/// The final word on a request, or on one attempt of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outcome {
    /// Whether the work ran.
    pub ran: Ran,
    /// Why the request was refused or failed; `None` for success.
    pub error: Option<ErrorKind>,
    /// Earliest time from now at which another request may succeed.
    pub retry_after: Option<Millis>,
    /// HTTP status of a plain service's answer; 0 for engines and refusals.
    pub status: u16,
    /// Tokens, or bytes of a plain answer, in the whole answer.
    pub total: u64,
    /// Answer of a plain service; `None` for engines, refusals, and answers no longer kept.
    pub data: Option<Bytes>,
}

impl Outcome {
    /// Returns the outcome of a request that was refused or failed.
    pub const fn failed(kind: ErrorKind, ran: Ran) -> Self {
        Self {
            ran,
            error: Some(kind),
            retry_after: None,
            status: 0,
            total: 0,
            data: None,
        }
    }

    /// Returns the outcome of a plain call that a service answered.
    pub fn answered(status: u16, data: Bytes) -> Self {
        Self {
            ran: Ran::Yes,
            error: None,
            retry_after: None,
            status,
            total: data.len() as u64,
            data: Some(data),
        }
    }

    /// Returns the same outcome with a time after which to try again.
    #[must_use]
    pub const fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
