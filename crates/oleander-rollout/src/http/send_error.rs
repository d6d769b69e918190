//! Why an HTTP request has no complete response.

use derive_more::{Display, Error};

/// Why an HTTP request has no complete response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause, as text for logs.
        reason: String,
    },
    /// The request was not sent, because it may not be sent any more.
    #[display("withheld: {reason}")]
    Withheld {
        /// Label of the cause in logs and metrics.
        reason: &'static str,
    },
    /// The request may have arrived, but no complete response was read: none arrived, or its body
    /// broke off, was too long or could not be read.
    #[display("no whole answer: {reason}")]
    NoAnswer {
        /// Cause, as text for logs.
        reason: String,
    },
}

impl SendError {
    /// Returns the error of a request that was not sent.
    pub fn not_sent(reason: impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    /// Returns the cause.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotSent { reason } | Self::NoAnswer { reason } => reason,
            Self::Withheld { reason } => reason,
        }
    }

    /// Returns the error of a request that may have been sent and has no complete response.
    pub fn no_answer(reason: impl ToString) -> Self {
        Self::NoAnswer {
            reason: reason.to_string(),
        }
    }
}
