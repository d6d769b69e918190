//! Work and orders for an agent, until its next report.

use crate::peer::messages::{LoadWork, PlatformUpdate, PullResponse, WorkItem};
use event_listener::Event;

/// Work and orders for an agent, until its next report.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Items to run.
    pub work: Vec<WorkItem>,
    /// Items to drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items to return with their progress, as `JOB/ITEM`.
    pub recall: Vec<String>,
    /// Items to return if they still wait for a slot, as `JOB/ITEM`.
    pub recall_waiting: Vec<String>,
    /// Runs to report in full, as `JOB/ITEM`; they alone don't end the wait of an agent.
    pub resend_full: Vec<String>,
    /// Weights to load now.
    pub load: Option<LoadWork>,
    /// Notified when there is something for the agent.
    pub filled: Event,
}

impl Outbox {
    /// Whether there is nothing that ends the wait of an agent.
    pub fn is_empty(&self) -> bool {
        let no_recall = self.recall.is_empty() && self.recall_waiting.is_empty();
        self.work.is_empty() && self.drop.is_empty() && no_recall && self.load.is_none()
    }

    /// Moves the contents into a response.
    pub fn take(&mut self) -> PullResponse {
        PullResponse {
            work: std::mem::take(&mut self.work),
            drop: std::mem::take(&mut self.drop),
            recall: std::mem::take(&mut self.recall),
            recall_waiting: std::mem::take(&mut self.recall_waiting),
            resend_full: std::mem::take(&mut self.resend_full),
            load: self.load.take(),
            platform_update: PlatformUpdate::default(),
            ends_confirmed_ms: None,
        }
    }
}
