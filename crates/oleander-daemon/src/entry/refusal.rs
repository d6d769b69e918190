//! A refusal as an operator sees it.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// One refusal, as `GET /v1/requests/{request}` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Name of the error kind.
    pub kind: String,
    /// The message that the caller got.
    pub message: String,
    /// Whether the work ran.
    pub ran: Ran,
    /// Time after which the caller may retry, as it was answered.
    pub retry_after_ms: Option<u64>,
    /// Advice for the operator.
    pub advice: String,
}
