//! The table from error kind to the answer that a caller gets.

use crate::error_kind::ErrorKind;
use serde::{Deserialize, Serialize};

/// How an error kind is answered over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the same request may succeed later without a change.
    pub retryable: bool,
    /// A sentence for the caller.
    pub message: &'static str,
}

const fn answer(status: u16, retryable: bool, message: &'static str) -> Answer {
    Answer {
        status,
        retryable,
        message,
    }
}

impl ErrorKind {
    /// Returns the answer for this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => answer(400, false, "the request can't be read or breaks a limit"),
            Self::TooLarge => answer(413, false, "the body is larger than the limit"),
            Self::WrongContentType => {
                answer(415, false, "the content type must be application/json")
            }
            Self::Unauthorized => answer(401, false, "a valid token is required"),
            Self::UnknownTarget => answer(404, false, "no such model or service"),
            Self::NoContract => answer(403, false, "no contract covers this request"),
            Self::NotFound => answer(404, false, "not found"),
            Self::Conflict => answer(409, false, "another amendment was accepted first"),
            Self::Overloaded => answer(503, true, "the expected wait exceeds the deadline"),
            Self::ShareExhausted => answer(429, true, "the class has used its share"),
            Self::DeadlineBeforeStart => {
                answer(504, true, "the deadline passed before the work started")
            }
            Self::DeadlineWhileRunning => {
                answer(504, false, "the deadline passed while the work ran")
            }
            Self::NoEndpoint => answer(503, true, "no endpoint is available"),
            Self::Leaving => answer(503, true, "the endpoint is leaving"),
            Self::Quarantined => answer(503, true, "the engine does not know its version"),
            Self::WrongIncarnation => answer(
                502,
                false,
                "the endpoint restarted; the outcome is not known",
            ),
            Self::Cancelled => answer(499, false, "the request was cancelled"),
            Self::EndpointFailed => answer(502, false, "the endpoint failed"),
            Self::AgentLost => answer(502, false, "the connection to the endpoint was lost"),
            Self::KeyInProgress => answer(409, true, "the same idempotency key is in progress"),
            Self::KeyReused => answer(422, false, "the idempotency key belongs to another request"),
            Self::StoreUnavailable => answer(503, true, "the platform's store is not available"),
            Self::RetryBudget => answer(503, true, "the retry budget is spent"),
            Self::OldFence => answer(409, false, "the order carries an old fencing number"),
            Self::ShuttingDown => answer(503, true, "the process is stopping"),
            Self::Internal => answer(500, false, "internal error"),
        }
    }
}
