//! Outcome of opening a stream at a service.

use super::not_run::NotRun;
use super::opened_stream::OpenedStream;

/// Outcome of opening a stream.
#[derive(Debug)]
pub enum StreamOutcome {
    /// An endpoint responded; the body has not been read yet.
    Opened(Box<OpenedStream>),
    /// The request has not run.
    NotRun(NotRun),
    /// The request may have run, but its response is lost.
    Unknown,
}
