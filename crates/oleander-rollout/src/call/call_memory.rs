//! Memory that a call uses in this process.

use crate::http::room::HeldBytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Memory that a call uses in this process; clones share it. By default, nothing is accounted for.
#[derive(Clone, Debug, Default)]
pub struct CallMemory {
    // Given back once the last clone of the call is dropped.
    body: Option<Rc<HeldBytes>>,
    response: Option<Rc<ResponseMemory>>,
}

#[derive(Debug)]
struct ResponseMemory {
    // Reserved for the response; taken by the attempt whose response arrives first.
    reserved: RefCell<Option<HeldBytes>>,
    // Piece of the same room that holds nothing, for the responses to further attempts.
    empty: HeldBytes,
    // Attempts whose response waits for room.
    waiting: Cell<usize>,
}

/// Marks a call as waiting for room until it is dropped.
#[derive(Debug)]
pub(super) struct RoomWait(Rc<ResponseMemory>);

impl CallMemory {
    /// Returns the memory of a call whose body holds `body`, without a bound on its response.
    pub fn of_body(body: Option<HeldBytes>) -> Self {
        Self {
            body: body.map(Rc::new),
            response: None,
        }
    }

    /// Returns the memory of the same call with what is reserved for its response.
    pub fn with_response(self, reserved: HeldBytes) -> Self {
        let response = ResponseMemory {
            empty: reserved.sibling(),
            reserved: RefCell::new(Some(reserved)),
            waiting: Cell::new(0),
        };
        Self {
            response: Some(Rc::new(response)),
            ..self
        }
    }

    /// Returns the bytes that the body holds.
    pub fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |held| held.bytes())
    }

    /// Whether a response of the call has arrived and waits for room; another attempt would need
    /// more.
    pub(super) fn is_waiting(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| response.waiting.get() > 0)
    }

    /// Returns the piece for the response to an attempt, `None` if responses are not bounded. The
    /// first one has what is reserved.
    pub(super) fn take_response(&self) -> Option<HeldBytes> {
        let response = self.response.as_ref()?;
        let reserved = response.reserved.borrow_mut().take();
        Some(reserved.unwrap_or_else(|| response.empty.sibling()))
    }

    /// Marks the call as waiting for room.
    pub(super) fn wait(&self) -> Option<RoomWait> {
        let response = self.response.as_ref()?;
        response.waiting.set(response.waiting.get() + 1);
        Some(RoomWait(Rc::clone(response)))
    }
}

impl Drop for RoomWait {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}
