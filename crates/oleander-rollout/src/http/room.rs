//! Room for bytes that wait, shared by tasks.

use event_listener::{Event, listener};
use oleanderlock::pressure::byte_room::ByteRoom;
use oleanderlock::pressure::room_limits::RoomLimits;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Room for bytes that wait; clones share it.
#[derive(Clone, Debug)]
pub struct Room(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    room: RefCell<ByteRoom>,
    freed: Event,
}

/// Bytes that one piece holds of a room; given back when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    room: Room,
    workspace: Option<Arc<str>>,
    shared: bool,
    bytes: Cell<usize>,
}

impl Room {
    /// Returns an empty room.
    pub fn new(limits: RoomLimits) -> Self {
        Self(Rc::new(Inner {
            room: RefCell::new(ByteRoom::new(limits)),
            freed: Event::new(),
        }))
    }

    /// Returns a piece of a workspace that holds nothing yet; `shared` says whether there are
    /// workspaces at all.
    pub fn piece(&self, workspace: Option<Arc<str>>, shared: bool) -> HeldBytes {
        HeldBytes {
            room: self.clone(),
            workspace,
            shared,
            bytes: Cell::new(0),
        }
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.0.room.borrow().used()
    }
}

impl HeldBytes {
    /// Returns a piece of the same workspace in the same room that holds nothing yet.
    pub fn sibling(&self) -> Self {
        self.room.piece(self.workspace.clone(), self.shared)
    }

    /// Returns the bytes that the piece holds.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Makes the piece hold `bytes`; returns false, and changes nothing, if there is no room for it.
    pub fn try_resize(&self, bytes: usize) -> bool {
        let has = self.bytes.get();
        let mut room = self.room.0.room.borrow_mut();
        if bytes > has {
            if !room.take(self.workspace.as_ref(), self.shared, has, bytes - has) {
                return false;
            }
        } else if bytes < has {
            room.give_back(self.workspace.as_ref(), has - bytes);
            self.room.0.freed.notify(usize::MAX);
        }
        self.bytes.set(bytes);
        true
    }

    /// Makes the piece hold `bytes`, as soon as there is room for it.
    pub async fn resize(&self, bytes: usize) {
        while !self.try_resize(bytes) {
            listener!(self.room.0.freed => freed);
            if self.try_resize(bytes) {
                return;
            }
            freed.await;
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        // Giving back always succeeds.
        self.try_resize(0);
    }
}
