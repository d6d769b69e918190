//! The error of a call to the platform's store.

use derive_more::{Display, Error};

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call took no effect: the store refused it or was not reached, or the call was not made
    /// because its value could not be serialized.
    #[display("not done: {reason}")]
    NotDone {
        /// The refusal or the connection error.
        reason: String,
    },
    /// No response arrived, or none that can be decoded; the call may have taken effect, or may still do so.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// What failed, such as a timeout, a broken connection or an unreadable body.
        reason: String,
    },
    /// The object already exists, or its revision is not the expected one.
    #[display("conflict")]
    Conflict,
    /// The store no longer holds the history after the revision that a watch asked for.
    #[display("history gone")]
    HistoryGone,
}

impl StoreError {
    /// Returns the error of a call that was refused or not made, and so took no effect.
    pub fn not_done(reason: impl ToString) -> Self {
        Self::NotDone {
            reason: reason.to_string(),
        }
    }

    /// Returns the error of a call whose effect is unknown.
    pub fn no_answer(reason: impl ToString) -> Self {
        Self::NoAnswer {
            reason: reason.to_string(),
        }
    }
}
