//! State of an item of a batch job.

use super::item_phase::ItemPhase;
use super::job_item::JobItem;
use super::progress::Progress;
use crate::prelude::*;
use std::collections::VecDeque;

/// An item of a batch job and its state.
#[derive(Clone, Debug)]
pub struct ItemState {
    /// The item as it was submitted.
    pub item: JobItem,
    /// Phase of the item.
    pub phase: ItemPhase,
    /// Number of runs that the engine answered with a failure.
    pub failures: u32,
    /// Progress of an interrupted run, from which the next one resumes.
    pub progress: Option<Progress>,
    /// Time until which it rather waits for an engine of the software version that has begun it than
    /// starts again at another one; `None` if it has not waited yet.
    pub version_wait_until: Option<Millis>,
    /// Ids of its last returns, oldest first.
    pub returns: VecDeque<u64>,
    /// Ids of the returns that are counted in `failures`.
    pub failed_returns: Vec<u64>,
    /// Agent that returned it last without a result; others are preferred.
    pub returned_by: Option<String>,
    /// Time until which it is not assigned, because an agent that has not reported yet may still
    /// run it.
    pub hold_until: Millis,
}

impl ItemState {
    /// Creates the state of a new item, waiting without progress.
    pub fn new(item: JobItem) -> Self {
        Self {
            item,
            phase: ItemPhase::Waiting,
            failures: 0,
            progress: None,
            version_wait_until: None,
            returns: VecDeque::new(),
            failed_returns: Vec::new(),
            returned_by: None,
            hold_until: Millis::ZERO,
        }
    }

    /// Whether the item is assigned to the agent `name`.
    pub fn is_running_on(&self, name: &str) -> bool {
        matches!(&self.phase, ItemPhase::Running { agent } if agent == name)
    }

    /// Whether the return `id` of the item has been recorded, as far as it is remembered.
    pub fn has_returned(&self, id: u64) -> bool {
        self.returns.contains(&id) || self.failed_returns.contains(&id)
    }
}
