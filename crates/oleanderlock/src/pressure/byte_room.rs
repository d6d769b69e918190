//! Bound on bytes that wait, shared among workspaces.
//!
//! Load pattern: a few workspaces send and read large bodies slowly, many others small ones. Bytes
//! that wait can't be taken back, so a share that is lent must leave room for those to whom it
//! belongs: a workspace may hold up to [`SHARE_OF_FREE`] times what is free. One alone then uses two
//! thirds of the room, two use two fifths each, and some is always left for the next.

use super::room_limits::RoomLimits;
use std::collections::HashMap;
use std::sync::Arc;

/// A workspace may hold this many times the bytes that are free.
const SHARE_OF_FREE: usize = 2;

/// Bytes that wait in one place.
#[derive(Clone, Debug)]
pub struct ByteRoom {
    limits: RoomLimits,
    used: usize,
    by_workspace: HashMap<Option<Arc<str>>, usize>,
}

impl ByteRoom {
    /// Returns an empty room.
    pub fn new(limits: RoomLimits) -> Self {
        Self {
            limits,
            used: 0,
            by_workspace: HashMap::new(),
        }
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the bytes that a workspace holds.
    pub fn held_by(&self, workspace: Option<&Arc<str>>) -> usize {
        let held = self.by_workspace.get(&workspace.cloned());
        held.copied().unwrap_or_default()
    }

    /// Takes `more` bytes for a piece that has `has` so far; returns whether they fit. Nothing is
    /// taken if they don't.
    ///
    /// `workspace` is `None` for requests without one; where `shared` is false, there are no
    /// workspaces. A piece that is larger than the room is taken while the room is empty, so that
    /// none waits forever.
    pub fn take(
        &mut self,
        workspace: Option<&Arc<str>>,
        shared: bool,
        has: usize,
        more: usize,
    ) -> bool {
        if !self.fits(workspace, shared, has, more) {
            return false;
        }
        self.used += more;
        *self.by_workspace.entry(workspace.cloned()).or_default() += more;
        true
    }

    fn fits(&self, workspace: Option<&Arc<str>>, shared: bool, has: usize, more: usize) -> bool {
        // The piece is alone in the room.
        if self.used == has {
            return true;
        }
        let limit = if has.saturating_add(more) <= self.limits.small {
            self.limits.total + self.limits.reserve
        } else {
            self.limits.total
        };
        let free = limit.saturating_sub(self.used);
        if more > free {
            return false;
        }
        let held = self.held_by(workspace);
        !shared || held + more <= SHARE_OF_FREE * (free - more)
    }

    /// Gives back bytes that a workspace holds.
    pub fn give_back(&mut self, workspace: Option<&Arc<str>>, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        let key = workspace.cloned();
        if let Some(held) = self.by_workspace.get_mut(&key) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.by_workspace.remove(&key);
            }
        }
    }
}
