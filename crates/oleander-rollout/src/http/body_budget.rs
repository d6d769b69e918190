//! Memory for the bodies of responses that are read as a whole.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that all bodies in progress may use together.
const BUDGET_BYTES: usize = 16 << 20;
/// A body of up to this size is read even if the others have used the budget up, as long as
/// [`SMALL_TOTAL_BYTES`] allow.
const SMALL_BYTES: usize = 256 << 10;
/// Bytes beyond the budget that bodies of up to [`SMALL_BYTES`] may use together.
const SMALL_TOTAL_BYTES: usize = 16 << 20;
/// A body of up to this size is always read; the read buffer of its connection is no smaller.
const MINIMAL_BYTES: usize = 8 << 10;

/// Memory for the bodies of responses that are read as a whole; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct BodyBudget {
    used: Rc<Cell<usize>>,
}

/// The part of the budget that one body uses; returned when it is dropped.
#[derive(Debug)]
pub(super) struct BodyMemory {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Returns the memory of a body that has not been read yet.
    pub(super) fn body(&self) -> BodyMemory {
        BodyMemory {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyMemory {
    /// Takes memory for further bytes; returns false if the budget is used up.
    pub(super) fn take(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() + bytes;
        self.budget.used.set(used);
        self.bytes += bytes;
        let limit = if self.bytes <= SMALL_BYTES {
            BUDGET_BYTES + SMALL_TOTAL_BYTES
        } else {
            BUDGET_BYTES
        };
        self.bytes <= MINIMAL_BYTES || used <= limit
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used - self.bytes);
    }
}
