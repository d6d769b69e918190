//! Error of a token stream.

/// A stream ended or became invalid before its [`Done`](super::engine_event::EngineEvent::Done)
/// event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamError;
