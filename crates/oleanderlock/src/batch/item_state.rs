//! Where an item of a batch job stands.

use super::item_phase::ItemPhase;
use super::job_item::JobItem;
use super::progress::Progress;
use crate::prelude::*;

/// An item and where it stands.
#[derive(Clone, Debug)]
pub struct ItemState {
    /// The item.
    pub item: JobItem,
    /// Where it stands.
    pub phase: ItemPhase,
    /// Runs that the engine answered with a failure.
    pub failures: u32,
    /// What an interrupted run has made.
    pub progress: Option<Progress>,
    /// Until when it waits for the agent that may still run it.
    pub hold_until: Millis,
}

impl ItemState {
    /// A new item.
    pub fn new(item: JobItem) -> Self {
        Self {
            item,
            phase: ItemPhase::Waiting,
            failures: 0,
            progress: None,
            hold_until: Millis::ZERO,
        }
    }

    /// Whether the agent has the item.
    pub fn is_running_on(&self, name: &str) -> bool {
        matches!(&self.phase, ItemPhase::Running { agent } if agent == name)
    }
}
