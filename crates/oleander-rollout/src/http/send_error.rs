//! Why an exchange over HTTP brought no answer.

use derive_more::{Display, Error};

/// Why an exchange over HTTP brought no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// What failed.
        reason: String,
    },
    /// The request may have arrived; its answer was lost or broken.
    #[display("no whole answer: {reason}")]
    NoAnswer {
        /// What failed.
        reason: String,
    },
}

impl SendError {
    /// A fault before the request was sent.
    pub fn not_sent(reason: impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    /// A fault after the request was sent.
    pub fn no_answer(reason: impl ToString) -> Self {
        Self::NoAnswer {
            reason: reason.to_string(),
        }
    }
}
