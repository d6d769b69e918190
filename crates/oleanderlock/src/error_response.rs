//! HTTP status and message for each error kind.

use crate::error_kind::ErrorKind;
use serde::{Deserialize, Serialize};

/// The HTTP response for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the same request may succeed later without a change.
    pub retryable: bool,
    /// Message for the caller, sent in the body.
    pub message: &'static str,
}

const fn response(status: u16, retryable: bool, message: &'static str) -> ErrorResponse {
    ErrorResponse {
        status,
        retryable,
        message,
    }
}

impl ErrorKind {
    /// Returns the HTTP response for this kind.
    pub const fn response(self) -> ErrorResponse {
        match self {
            Self::BadRequest => response(400, false, "the request can't be read or breaks a limit"),
            Self::TooLarge => response(413, false, "the body is larger than the limit"),
            Self::WrongContentType => {
                response(415, false, "the content type must be application/json")
            }
            Self::Unauthorized => response(401, false, "a valid token is required"),
            Self::UnknownTarget => response(404, false, "no such model or service"),
            Self::NoContract => response(403, false, "no contract covers this request"),
            Self::NotFound => response(404, false, "not found"),
            Self::Conflict => response(409, false, "another amendment was accepted first"),
            Self::Overloaded => response(503, true, "the expected wait exceeds the deadline"),
            Self::ShareExhausted => response(429, true, "the class has used its share"),
            Self::DeadlineBeforeStart => {
                response(504, true, "the deadline passed before the work started")
            }
            Self::DeadlineWhileRunning => {
                response(504, false, "the deadline passed while the work ran")
            }
            Self::NoEndpoint => response(503, true, "no endpoint is available"),
            Self::Leaving => response(503, true, "the endpoint is leaving"),
            Self::Quarantined => response(503, true, "the engine does not know its version"),
            Self::WrongIncarnation => response(
                502,
                false,
                "the endpoint restarted; the outcome is not known",
            ),
            Self::Cancelled => response(499, false, "the request was cancelled"),
            Self::EndpointFailed => response(502, false, "the endpoint failed"),
            Self::AgentLost => response(502, false, "the connection to the endpoint was lost"),
            Self::KeyInProgress => response(409, true, "the same idempotency key is in progress"),
            Self::KeyReused => {
                response(422, false, "the idempotency key belongs to another request")
            }
            Self::StoreUnavailable => response(503, true, "the platform's store is not available"),
            Self::RetryBudget => response(503, true, "the retry budget is spent"),
            Self::OldFence => response(409, false, "the order carries an old fencing number"),
            Self::ShuttingDown => response(503, true, "the process is stopping"),
            Self::Internal => response(500, false, "internal error"),
        }
    }
}
