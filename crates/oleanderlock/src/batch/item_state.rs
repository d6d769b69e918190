//! Where an item of a batch job stands.

use super::job::JobItem;
use super::progress::Progress;
use crate::prelude::*;

/// Where an item stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It waits for an engine.
    Waiting,
    /// An agent has it.
    Running {
        /// Name of the agent.
        agent: String,
    },
    /// It has a result, or its job has ended.
    Finished,
}

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
    pub fn runs_at(&self, name: &str) -> bool {
        matches!(&self.phase, ItemPhase::Running { agent } if agent == name)
    }
}
