//! Why a stream could not be opened.

use super::not_run::NotRun;
use derive_more::Display;

/// Why a stream could not be opened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamFailure {
    /// The request has not run.
    #[display("outcome={}", _0.reason)]
    NotRun(NotRun),
    #[display("outcome=unknown")]
    /// The request may have run, but its response is lost.
    Unknown,
}
