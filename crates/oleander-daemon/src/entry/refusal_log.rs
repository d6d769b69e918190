//! The latest refusals of an entry, which operators can look up by request.

use crate::entry::refusal::Refusal;
use crate::http::http_error::HttpError;
use crate::prelude::*;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;

/// Most refusals that an entry keeps.
const REFUSALS_MAX: usize = 4096;

/// The latest refusals by request; clones share them.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    refusals: Arc<Mutex<IndexMap<RequestId, Refusal>>>,
}

impl RefusalLog {
    /// Records the refusal of a request; ignores one that has no request id.
    pub fn record(&self, error: &HttpError) {
        let Some(request) = error.request else { return };
        let detail = error.body().error;
        let refusal = Refusal {
            kind: detail.kind,
            message: detail.message,
            ran: detail.ran,
            retry_after_ms: detail.retry_after_ms,
            advice: advice(error.kind).to_owned(),
        };
        let mut refusals = self.refusals.lock();
        if refusals.len() >= REFUSALS_MAX {
            // The oldest half is removed at once, since each removal at the front moves all others.
            refusals.drain(..REFUSALS_MAX / 2);
        }
        refusals.insert(request, refusal);
    }

    /// Returns the refusal of a request, unless it was removed or never recorded.
    pub fn find(&self, request: RequestId) -> Option<Refusal> {
        self.refusals.lock().get(&request).cloned()
    }
}

/// Returns the advice for an operator on errors of a kind.
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
