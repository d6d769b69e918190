//! The sending ends of a process, one for each peer.

use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
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

/// Frames that wait for a peer.
const SEND_BUFFER_FRAMES: i32 = 4096;
/// First wait before a broken connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a broken connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// A connection to a peer came or went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChange {
    /// Link address of the peer.
    pub peer: String,
    /// Whether a connection stands now.
    pub connected: bool,
}

/// One dialled peer.
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
    /// Creates an empty set that names `from` as the address for replies and calls `on_change`
    /// when a connection comes or goes.
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

    /// Starts to dial `peer` unless that was done before.
    ///
    /// # Errors
    ///
    /// The socket's fault, for example an address that can't be read.
    pub fn dial(&self, peer: &str) -> Result<(), LinkError> {
        let mut peers = self.peers.lock();
        if !peers.contains_key(peer) {
            peers.insert(peer.to_owned(), self.open(peer)?);
        }
        Ok(())
    }

    /// Drops the connection to `peer` and stops dialling it.
    pub fn forget(&self, peer: &str) {
        // Closing waits for callbacks, which must not find the lock taken.
        let removed = self.peers.lock().remove(peer);
        drop(removed);
    }

    /// Tells whether a connection to `peer` stands.
    pub fn is_connected(&self, peer: &str) -> bool {
        let peers = self.peers.lock();
        peers
            .get(peer)
            .is_some_and(|found| found.connected.load(Ordering::Acquire))
    }

    /// Sends over a connection that stands.
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

    /// Sends, or leaves the frame in the buffer until the connection stands.
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
            Err((_, fault)) => Err(fault.into()),
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
        let seen = connected.clone();
        let name = peer.to_owned();
        let on_change = self.on_change.clone();
        socket.pipe_notify(move |_, event| {
            let Some(now) = connection_after(event) else {
                return;
            };
            seen.store(now, Ordering::Release);
            on_change(PeerChange {
                peer: name.clone(),
                connected: now,
            });
        })?;
        socket.dial_async(peer)?;
        Ok(Peer { socket, connected })
    }
}

fn connection_after(event: PipeEvent) -> Option<bool> {
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
