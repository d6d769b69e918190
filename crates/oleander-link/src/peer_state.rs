//! Whether there is a connection to a peer.

use crate::peer_change::PeerChange;
use parking_lot::Mutex;
use std::sync::Arc;

/// Called with each change of a connection.
pub(crate) type OnChange = Arc<dyn Fn(PeerChange) + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Disconnected,
    Connected,
    Removed,
}

/// Whether there is a connection to a peer; reports each change in order, and none after the peer was
/// removed.
pub(crate) struct PeerState {
    peer: String,
    phase: Mutex<Phase>,
    on_change: OnChange,
}

impl PeerState {
    pub(crate) fn new(peer: &str, on_change: OnChange) -> Self {
        Self {
            peer: peer.to_owned(),
            phase: Mutex::new(Phase::Disconnected),
            on_change,
        }
    }

    pub(crate) fn is_connected(&self) -> bool {
        *self.phase.lock() == Phase::Connected
    }

    /// Records that a connection was made or lost, unless the peer was removed.
    pub(crate) fn set_connected(&self, connected: bool) {
        self.change(if connected {
            Phase::Connected
        } else {
            Phase::Disconnected
        });
    }

    /// Records that the peer was removed, which also ends its connection.
    pub(crate) fn remove(&self) {
        self.change(Phase::Removed);
    }

    // The lock is held while the change is reported, which keeps the order of the reports.
    fn change(&self, next: Phase) {
        let mut phase = self.phase.lock();
        if *phase == Phase::Removed {
            return;
        }
        let was_connected = *phase == Phase::Connected;
        *phase = next;
        let connected = next == Phase::Connected;
        if connected != was_connected {
            (self.on_change)(PeerChange {
                peer: self.peer.clone(),
                connected,
            });
        }
    }
}
