//! Room for the bytes that wait in an entry.

use super::request_head::RequestHead;
use crate::http::room::{HeldBytes, Room};
use crate::prelude::*;
use http::Uri;
use oleanderlock::pressure::response_sizes::ResponseSizes;
use oleanderlock::pressure::room_limits::RoomLimits;
use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Longest body that passes while large ones fill the room.
const SMALL_BYTES: usize = 16 << 10;
/// Limits of the bodies of requests. All limits together leave half of the memory of the smallest
/// machines, 120 MB, to connections and the rest of the process.
const BODIES: RoomLimits = RoomLimits {
    total: 16 << 20,
    reserve: 4 << 20,
    small: SMALL_BYTES,
};
/// Limits of whole responses.
const RESPONSES: RoomLimits = RoomLimits {
    total: 20 << 20,
    reserve: 4 << 20,
    small: SMALL_BYTES,
};
/// Limits of relayed streams.
const STREAMS: RoomLimits = RoomLimits {
    total: 12 << 20,
    reserve: 4 << 20,
    small: STREAM_BYTES,
};
/// What a relayed stream holds at least, in bytes: the buffers of its two connections.
const STREAM_BYTES: usize = 16 << 10;
/// Size that is expected of a response to a call of a kind that this process has not seen.
const UNKNOWN_RESPONSE_BYTES: usize = SMALL_BYTES;

/// Room for the bytes that wait in an entry, one for each place: bytes in one place must not keep
/// those out that are needed in the next.
#[derive(Debug)]
pub struct Rooms {
    bodies: Room,
    responses: Room,
    streams: Room,
    sizes: RefCell<ResponseSizes>,
}

impl Default for Rooms {
    fn default() -> Self {
        Self {
            bodies: Room::new(BODIES),
            responses: Room::new(RESPONSES),
            streams: Room::new(STREAMS),
            sizes: RefCell::default(),
        }
    }
}

impl Rooms {
    /// Returns the piece for the body of a request, which holds nothing yet.
    pub fn body(&self, workspace: Option<Arc<str>>, shared: bool) -> HeldBytes {
        self.bodies.piece(workspace, shared)
    }

    /// Returns the piece for the response to a call, as large as such responses are expected to be;
    /// `None` if there is no room.
    pub fn response(
        &self,
        workspace: Option<Arc<str>>,
        shared: bool,
        kind: u64,
    ) -> Option<HeldBytes> {
        let expected = self.sizes.borrow().expected(kind);
        let piece = self.responses.piece(workspace, shared);
        let fits = piece.try_resize(expected.unwrap_or(UNKNOWN_RESPONSE_BYTES));
        fits.then_some(piece)
    }

    /// Records the size of the response to a call.
    pub fn record_response(&self, kind: u64, bytes: usize) {
        self.sizes.borrow_mut().record(kind, bytes);
    }

    /// Returns the piece for a relayed stream; `None` if there is no room.
    pub fn stream(&self, workspace: Option<Arc<str>>, shared: bool) -> Option<HeldBytes> {
        let piece = self.streams.piece(workspace, shared);
        piece.try_resize(STREAM_BYTES).then_some(piece)
    }

    /// Makes the piece of a stream hold `bytes` beside the buffers of its connections; returns whether
    /// there is room.
    pub fn resize_stream(piece: &HeldBytes, bytes: usize) -> bool {
        piece.try_resize(bytes + STREAM_BYTES)
    }
}

/// Returns the kind of a call, for the size that its response is expected to have: calls of the same
/// host and path.
pub fn kind_of(head: &RequestHead, target: &Uri) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&head.host, target.path()).hash(&mut hasher);
    hasher.finish()
}

/// Returns the time after which a refused client may retry: between once and twice `least`, so that
/// not all return at once.
pub fn spread(least: Millis) -> Millis {
    Millis(rand::random_range(least.0..=least.0 * 2))
}
