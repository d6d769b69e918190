//! The end of a request.

use oleanderlock::request_outcome::Outcome;
use oleanderlock::whole_answer::WholeAnswer;

/// The end of a request.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// The outcome for the caller.
    pub outcome: Outcome,
    /// The complete answer of an engine; `None` for plain services and failed requests.
    pub answer: Option<WholeAnswer>,
    /// Whether any text was passed to `on_data`.
    pub text_sent: bool,
}
