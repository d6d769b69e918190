//! The sockets on which a process sends frames, one for each peer.

use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
use crate::peer_change::PeerChange;
use crate::wire::Frame;
use crate::wire::frame::Body;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Message, PipeEvent, Protocol, Socket};
use oleanderlock::prelude::*;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Frames that are buffered for one peer.
const SEND_BUFFER_FRAMES: i32 = 4096;
/// First delay before a broken connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest delay before a broken connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The socket of a dialled peer and whether it is connected.
struct Peer {
    socket: Socket,
    connected: Arc<AtomicBool>,
}

/// Push sockets by link address; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    from: Arc<str>,
    incarnation: Incarnation,
    keys: LinkKeys,
    peers: Arc<Mutex<HashMap<String, Peer>>>,
    on_change: Arc<dyn Fn(PeerChange) + Send + Sync>,
}

impl Peers {
    /// Creates an empty set of peers.
    ///
    /// Frames name `from` as the address for replies. `on_change` is called on a thread of the socket
    /// library whenever a connection is made or lost.
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
    /// The error of the socket, for example that the address is invalid.
    pub fn dial(&self, peer: &str) -> Result<(), LinkError> {
        let mut peers = self.peers.lock();
        if !peers.contains_key(peer) {
            peers.insert(peer.to_owned(), self.open(peer)?);
        }
        Ok(())
    }

    /// Drops the connection to `peer` and stops dialling it.
    pub fn remove(&self, peer: &str) {
        // Closing the socket waits for its callbacks, so the lock is released first.
        let removed = self.peers.lock().remove(peer);
        drop(removed);
    }

    /// Returns whether there is a connection to `peer`.
    pub fn is_connected(&self, peer: &str) -> bool {
        let peers = self.peers.lock();
        peers
            .get(peer)
            .is_some_and(|found| found.connected.load(Ordering::Acquire))
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
        let message = Message::from(self.keys.seal(&frame).as_slice());
        let Some(socket) = self.socket_of(peer) else {
            return Err(LinkError::NotConnected {
                peer: peer.to_owned(),
            });
        };
        match socket.try_send(message) {
            Ok(()) => Ok(()),
            Err((_, nng::Error::TryAgain)) => Err(LinkError::Backlog {
                peer: peer.to_owned(),
            }),
            Err((_, error)) => Err(error.into()),
        }
    }

    fn socket_of(&self, peer: &str) -> Option<Socket> {
        self.peers
            .lock()
            .get(peer)
            .map(|found| found.socket.clone())
    }

    fn open(&self, peer: &str) -> Result<Peer, LinkError> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER_FRAMES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let connected = Arc::new(AtomicBool::new(false));
        let connected_flag = connected.clone();
        let name = peer.to_owned();
        let on_change = self.on_change.clone();
        socket.pipe_notify(move |_, event| {
            let Some(is_connected) = connected_after(event) else {
                return;
            };
            connected_flag.store(is_connected, Ordering::Release);
            on_change(PeerChange {
                peer: name.clone(),
                connected: is_connected,
            });
        })?;
        socket.dial_async(peer)?;
        Ok(Peer { socket, connected })
    }
}

/// Returns whether there is a connection after `event`; `None` when the event changes nothing.
fn connected_after(event: PipeEvent) -> Option<bool> {
    match event {
        PipeEvent::AddPost => Some(true),
        PipeEvent::RemovePost => Some(false),
        _ => None,
    }
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers")
            .field("from", &self.from)
            .finish_non_exhaustive()
    }
}
