//! Why a call to the store did not bring what was asked for.

use derive_more::{Display, Error};

/// Why a call to the store did not bring what was asked for.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing was done: the store refused the call or was not reached.
    #[display("not done: {reason}")]
    NotDone {
        /// The refusal.
        reason: String,
    },
    /// The call may have taken effect, or may do so later.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// What failed.
        reason: String,
    },
    /// The object exists already, or has another revision.
    #[display("conflict")]
    Conflict,
    /// The history that a watch asked for is gone.
    #[display("history gone")]
    HistoryGone,
}

impl StoreFault {
    /// A call that took no effect.
    pub fn not_done(reason: impl ToString) -> Self {
        Self::NotDone {
            reason: reason.to_string(),
        }
    }

    /// A call whose effect is unknown.
    pub fn no_answer(reason: impl ToString) -> Self {
        Self::NoAnswer {
            reason: reason.to_string(),
        }
    }
}
