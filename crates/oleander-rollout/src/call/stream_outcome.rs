//! Outcome of opening a stream at a service.

use crate::http::exchange::Exchange;
use crate::prelude::*;

/// Outcome of opening a stream.
#[derive(Debug)]
pub enum StreamOutcome {
    /// An endpoint responded; the body has not been read yet.
    Opened(Box<Exchange>),
    /// The request has not run and may be retried after this time.
    NotRun(Millis),
    /// The request may have run, but its response is lost.
    Unknown,
}
