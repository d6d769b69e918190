//! What became of one call.

use oleanderlock::prelude::*;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to its own request.
    Answered,
    /// An answer that is not whole or belongs to another request.
    Wrong,
    /// An error of the product.
    Refused {
        /// Kind, if it is one of the closed list.
        kind: Option<ErrorKind>,
        /// What is said of the work.
        ran: Ran,
    },
    /// No valid answer.
    Broken,
    /// Never sent, since too many earlier calls were in flight.
    Unsent,
}

/// One call that ended.
#[derive(Clone, Copy, Debug)]
pub struct CallOutcome {
    /// Place of the call in its stream.
    pub number: usize,
    /// Time from the intended send time to the end, in microseconds.
    pub latency_us: u64,
    /// Time from the intended send time until it was sent, in microseconds; the tool's own lag.
    pub lag_us: u64,
    /// How it ended.
    pub end: CallEnd,
}
