//! What waits for an agent until its next report.

use crate::peer::messages::{LoadWork, PlatformNews, PullAnswer, WorkItem};

/// What waits for an agent until its next report.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Items to run.
    pub work: Vec<WorkItem>,
    /// Items to drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items to give back, as `JOB/ITEM`.
    pub recall: Vec<String>,
    /// Weights to load.
    pub load: Option<LoadWork>,
}

impl Outbox {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        let lists_empty = self.work.is_empty() && self.drop.is_empty() && self.recall.is_empty();
        lists_empty && self.load.is_none()
    }

    /// Takes all that waits.
    pub fn take(&mut self) -> PullAnswer {
        PullAnswer {
            work: std::mem::take(&mut self.work),
            drop: std::mem::take(&mut self.drop),
            recall: std::mem::take(&mut self.recall),
            load: self.load.take(),
            news: PlatformNews::default(),
        }
    }
}
