//! The latest refusals of an entry, for operators who ask why.

use crate::http::http_error::HttpError;
use crate::prelude::*;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Refusals that an entry remembers.
const REFUSALS_MAX: usize = 4096;

/// One refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Name of the error kind.
    pub kind: String,
    /// The sentence that the caller got.
    pub message: String,
    /// Whether the work ran.
    pub ran: Ran,
    /// When the caller was told to come back.
    pub retry_after_ms: Option<u64>,
    /// What an operator can do.
    pub advice: String,
}

/// The latest refusals by request; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    refusals: Arc<Mutex<IndexMap<RequestId, Refusal>>>,
}

impl RefusalLog {
    /// Remembers the refusal of a request.
    pub fn record(&self, fault: &HttpError) {
        let Some(request) = fault.request else { return };
        let detail = fault.body().error;
        let refusal = Refusal {
            kind: detail.kind,
            message: detail.message,
            ran: detail.ran,
            retry_after_ms: detail.retry_after_ms,
            advice: advice(fault.kind).to_owned(),
        };
        let mut refusals = self.refusals.lock();
        if refusals.len() >= REFUSALS_MAX {
            // The oldest half goes at once, since taking out the first entry moves all others.
            refusals.drain(..REFUSALS_MAX / 2);
        }
        refusals.insert(request, refusal);
    }

    /// Finds the refusal of a request.
    pub fn find(&self, request: RequestId) -> Option<Refusal> {
        self.refusals.lock().get(&request).cloned()
    }
}

/// Tells an operator what to look at for a kind.
fn advice(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Overloaded | ErrorKind::DeadlineBeforeStart => {
            "add endpoints, raise the deadline, or lower the shares of other classes"
        }
        ErrorKind::ShareExhausted => "raise the share of the class in the contract",
        ErrorKind::DeadlineWhileRunning => "raise the deadline of the class, or ask for less",
        ErrorKind::NoEndpoint | ErrorKind::Leaving => "look at `oleanderctl fleet`",
        ErrorKind::UnknownTarget => "check the name, and `targets` in the agents' settings",
        ErrorKind::NoContract => "put a contract with this class or service in force",
        ErrorKind::Quarantined => "look at the engine that does not know its version",
        ErrorKind::StoreUnavailable => "wait for the platform's store",
        ErrorKind::RetryBudget => "find why attempts fail; raise `retries` only then",
        ErrorKind::WrongIncarnation | ErrorKind::AgentLost | ErrorKind::EndpointFailed => {
            "find out at the endpoint whether the work ran; the agent's log names the request"
        }
        _ => "the sentence says what the caller must change",
    }
}
