//! Instances about which something has been logged.

use indexmap::IndexSet;
use std::cell::RefCell;

/// Most instances that are remembered; nothing is logged about further ones.
const INSTANCES_MAX: usize = 256;

/// Instances about which something has been logged, so that it is logged once for each.
#[derive(Debug, Default)]
pub(super) struct LoggedOnce {
    instances: RefCell<IndexSet<String>>,
}

impl LoggedOnce {
    /// Records an instance; returns whether it is to be logged.
    pub(super) fn record(&self, instance: &str) -> bool {
        let mut logged = self.instances.borrow_mut();
        logged.len() < INSTANCES_MAX && logged.insert(instance.to_owned())
    }
}
