//! The outcome of a request or of one of its attempts.

use crate::prelude::*;
use bytes::Bytes;

/// The final outcome of a request or of one of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outcome {
    /// Whether the work ran.
    pub ran: Ran,
    /// Why the request was refused or failed; `None` for success.
    pub error: Option<ErrorKind>,
    /// Time from now after which another request may succeed.
    pub retry_after: Option<Millis>,
    /// HTTP status of a plain service's answer; 0 for engines and refusals.
    pub status: u16,
    /// Length of the whole answer, in tokens for engines and in bytes for plain services.
    pub total: u64,
    /// Body of a plain service's answer; `None` for engines and refusals, and if the answer
    /// exceeded the limit for kept answers.
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

    /// Sets the time from now after which another request may succeed.
    #[must_use]
    pub const fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
