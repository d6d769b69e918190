//! Role of a process that sends calls.

/// Role of a process that sends calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRole {
    /// An entry, which calls for clients.
    Entry,
    /// An agent, which has texts scored.
    Agent,
}
