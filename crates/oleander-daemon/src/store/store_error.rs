//! Errors of calls to the store.

use derive_more::{Display, Error};

/// Error of a call to the store.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The condition of a write is not met; nothing was written.
    #[display("the object has version {version}")]
    Mismatch {
        /// Current version of the object; 0 when it does not exist.
        version: u64,
    },
    /// The store refused the call, or this process has used up its rate (status 429); nothing was
    /// written.
    #[display("the store refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// There was no valid response in time; a write may have taken effect.
    #[display("the store did not answer")]
    NoAnswer,
    /// The store no longer keeps the changes that the watch asks for.
    #[display("the history is gone")]
    HistoryGone,
}
