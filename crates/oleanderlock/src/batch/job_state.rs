//! A batch job and where its items stand.

use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::item_state::ItemState;
use super::job::Job;
use super::job_policy::JobPolicy;
use crate::prelude::*;
use indexmap::IndexMap;

/// A batch job and where its items stand.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Id of the job.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path under which the job was submitted.
    pub path: String,
    /// Model whose engines run the items.
    pub model: String,
    /// Oldest weight version that may make its tokens.
    pub oldest_version: u64,
    /// When it was submitted, on the clock of this process.
    pub submitted: Millis,
    /// What its route says.
    pub policy: JobPolicy,
    /// Items by id, in the order of the submission.
    pub items: IndexMap<String, ItemState>,
    /// Whether the trainer has ended it.
    pub ended: bool,
}

impl JobState {
    /// A job that was just accepted.
    pub fn new(job: Job, policy: JobPolicy, submitted: Millis) -> Self {
        let items = job.items.into_iter();
        let items = items.map(|item| (item.id.clone(), ItemState::new(item)));
        let items = items.collect();
        Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            oldest_version: job.oldest_version,
            submitted,
            policy,
            items,
            ended: false,
        }
    }

    /// Point at which the results are due.
    pub fn due(&self) -> Millis {
        self.submitted.plus(self.policy.due_after)
    }

    /// Returns the places of the items that wait for an engine, those that are expected to take
    /// longest first: a step is whole sooner when its long runs begin first.
    pub fn waiting_longest_first(&self, now: Millis) -> Vec<usize> {
        let waits = |place: &usize| {
            let item = &self.items[*place];
            item.phase == ItemPhase::Waiting && item.hold_until <= now
        };
        let mut waiting: Vec<usize> = (0..self.items.len()).filter(waits).collect();
        waiting.sort_by_key(|place| std::cmp::Reverse(self.items[*place].item.expected_tokens));
        waiting
    }

    /// Returns which agents have which items.
    pub fn running(&self) -> Vec<(String, ItemKey)> {
        let running = self.items.iter().filter_map(|(id, item)| {
            let ItemPhase::Running { agent } = &item.phase else {
                return None;
            };
            let key = ItemKey {
                job: self.id.clone(),
                item: id.clone(),
            };
            Some((agent.clone(), key))
        });
        running.collect()
    }

    /// Returns the items that have no result yet.
    pub fn unfinished(&self) -> Vec<ItemKey> {
        let unfinished = self
            .items
            .iter()
            .filter(|(_, item)| item.phase != ItemPhase::Finished);
        let keys = unfinished.map(|(id, _)| ItemKey {
            job: self.id.clone(),
            item: id.clone(),
        });
        keys.collect()
    }

    /// Ends the job: what has no result gets none.
    pub fn end(&mut self) {
        self.ended = true;
        for item in self.items.values_mut() {
            item.phase = ItemPhase::Finished;
            item.progress = None;
        }
    }
}
