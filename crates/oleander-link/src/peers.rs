//! The sockets on which a process sends frames, one for each peer.

use crate::dialer::Dialer;
use crate::link_address;
use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
use crate::peer_change::PeerChange;
use crate::peer_state::{OnChange, PeerState};
use crate::wire::Frame;
use crate::wire::frame::Body;
use oleanderlock::prelude::*;
use parking_lot::Mutex;
use smol::Task;
use smol::channel::{Sender, unbounded};
use std::collections::HashMap;
use std::sync::Arc;

/// Frames that are buffered for one peer, and one more for each thread that sends at the same time.
const SEND_BUFFER_FRAMES: usize = 4096;

/// A dialled peer; dropping it closes its connection.
struct Peer {
    frames: Sender<Vec<u8>>,
    state: Arc<PeerState>,
    _dialer: Task<()>,
}

/// Push sockets by link address; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    from: Arc<str>,
    incarnation: Incarnation,
    keys: LinkKeys,
    peers: Arc<Mutex<HashMap<String, Peer>>>,
    on_change: OnChange,
}

impl Peers {
    /// Creates an empty set of peers.
    ///
    /// Frames name `from` as the address for replies. `on_change` is called whenever a connection is
    /// made or lost, and must not call the peers.
    pub fn new(
        from: &str,
        incarnation: Incarnation,
        keys: LinkKeys,
        on_change: impl Fn(PeerChange) + Send + Sync + 'static,
    ) -> Self {
        Self {
            from: from.into(),
            incarnation,
            keys,
            peers: Arc::default(),
            on_change: Arc::new(on_change),
        }
    }

    /// Starts to dial `peer` in the background, unless it is dialled already.
    ///
    /// # Errors
    ///
    /// [`LinkError::Socket`] when the address is not of the form `tcp://IP:PORT`.
    pub fn dial(&self, peer: &str) -> Result<(), LinkError> {
        let mut peers = self.peers.lock();
        if !peers.contains_key(peer) {
            peers.insert(peer.to_owned(), self.open(peer)?);
        }
        Ok(())
    }

    /// Drops the connection to `peer` and stops dialling it.
    pub fn remove(&self, peer: &str) {
        let mut peers = self.peers.lock();
        if let Some(removed) = peers.remove(peer) {
            removed.state.remove();
        }
    }

    /// Returns whether there is a connection to `peer`.
    pub fn is_connected(&self, peer: &str) -> bool {
        let peers = self.peers.lock();
        peers
            .get(peer)
            .is_some_and(|found| found.state.is_connected())
    }

    /// Sends a frame if there is a connection to `peer`.
    ///
    /// # Errors
    ///
    /// Any error means that the frame was not sent and never will be.
    pub fn send_connected(&self, peer: &str, body: Body) -> Result<(), LinkError> {
        if !self.is_connected(peer) {
            return Err(LinkError::NotConnected {
                peer: peer.to_owned(),
            });
        }
        self.send(peer, body)
    }

    /// Sends a frame, dialling `peer` if necessary; the frame is buffered until there is a connection.
    ///
    /// # Errors
    ///
    /// Any error means that the frame was not sent and never will be.
    pub fn send(&self, peer: &str, body: Body) -> Result<(), LinkError> {
        self.dial(peer)?;
        let frame = Frame {
            from: self.from.to_string(),
            incarnation: self.incarnation.0,
            body: Some(body),
        };
        let message = self.keys.seal(&frame);
        let Some(frames) = self.buffer_of(peer) else {
            return Err(LinkError::NotConnected {
                peer: peer.to_owned(),
            });
        };
        // A bounded channel would have the memory of a full buffer from its start.
        if frames.len() >= SEND_BUFFER_FRAMES {
            return Err(LinkError::Backlog {
                peer: peer.to_owned(),
            });
        }
        frames
            .try_send(message)
            .map_err(|_| LinkError::NotConnected {
                peer: peer.to_owned(),
            })
    }

    fn buffer_of(&self, peer: &str) -> Option<Sender<Vec<u8>>> {
        let peers = self.peers.lock();
        peers.get(peer).map(|found| found.frames.clone())
    }

    fn open(&self, peer: &str) -> Result<Peer, LinkError> {
        let address = link_address::parse(peer)?;
        let (frames, buffered) = unbounded();
        let state = Arc::new(PeerState::new(peer, Arc::clone(&self.on_change)));
        let dialer = Dialer {
            address,
            frames: buffered,
            state: Arc::clone(&state),
        };
        Ok(Peer {
            frames,
            state,
            _dialer: smol::spawn(dialer.run()),
        })
    }
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("from", &self.from)
            .finish_non_exhaustive()
    }
}
