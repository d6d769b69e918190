//! Result of merging a peer's journal entries.

use oleanderlock::journal_messages::PeerFetch;

/// Result of merging a peer's journal entries.
#[derive(Clone, Debug, Default)]
pub struct ConfigUpdate {
    /// Whether the configuration in force has changed.
    pub changed: bool,
    /// The next fetch to send, and the peer to send it to.
    pub fetch: Option<PeerFetch>,
}
