//! Counts one call to a service.

use super::demand::Demand;
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

/// Counts one call to a service until it is dropped.
#[derive(Debug)]
pub struct DemandGuard {
    demand: Rc<Demand>,
    index: usize,
    started_at: Millis,
    refused: Cell<bool>,
}

impl DemandGuard {
    pub(super) fn new(demand: Rc<Demand>, index: usize) -> Self {
        Self {
            demand,
            index,
            started_at: now(),
            refused: Cell::new(false),
        }
    }

    /// Records that the endpoint was full.
    pub fn refuse(&self) {
        self.refused.set(true);
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        let (took, refused) = (now().since(self.started_at), self.refused.get());
        self.demand.update(self.index, |demand| {
            demand.ended += 1;
            if refused {
                demand.refused += 1;
            } else {
                demand.busy_ms += took.0;
            }
        });
    }
}
