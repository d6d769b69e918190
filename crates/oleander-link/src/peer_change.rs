//! A change of the connection to a peer.

/// The connection to a peer was made or lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChange {
    /// Link address of the peer.
    pub peer: String,
    /// Whether there is a connection now.
    pub connected: bool,
}
