//! The effect of a peer's entries on a configuration journal.

use crate::journal_messages::PeerFetch;

/// The effect of a peer's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalOutcome {
    /// Names of the objects that changed.
    pub changed: Vec<String>,
    /// The next fetch to send: for the rest of the peer's changes, or for those of another peer.
    pub fetch: Option<PeerFetch>,
}
