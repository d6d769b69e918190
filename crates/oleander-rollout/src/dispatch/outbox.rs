//! What waits for an agent until its next report.

use crate::peer::messages::{LoadWork, PlatformUpdate, PullResponse, WorkItem};

/// What waits for an agent until its next report.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Items to run.
    pub work: Vec<WorkItem>,
    /// Items to drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items to give back, as `JOB/ITEM`.
    pub recall: Vec<String>,
    /// Items to give back if they still wait for a slot, as `JOB/ITEM`.
    pub recall_waiting: Vec<String>,
    /// Runs to tell of as a whole, as `JOB/ITEM`; this alone calls for no answer.
    pub tell_whole: Vec<String>,
    /// Weights to load.
    pub load: Option<LoadWork>,
}

impl Outbox {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        let no_recall = self.recall.is_empty() && self.recall_waiting.is_empty();
        self.work.is_empty() && self.drop.is_empty() && no_recall && self.load.is_none()
    }

    /// Takes all that waits.
    pub fn take(&mut self) -> PullResponse {
        PullResponse {
            work: std::mem::take(&mut self.work),
            drop: std::mem::take(&mut self.drop),
            recall: std::mem::take(&mut self.recall),
            recall_waiting: std::mem::take(&mut self.recall_waiting),
            tell_whole: std::mem::take(&mut self.tell_whole),
            load: self.load.take(),
            platform_update: PlatformUpdate::default(),
        }
    }
}
