//! State of a batch job and its items.

use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::item_state::ItemState;
use super::job::Job;
use super::job_item::JobItem;
use super::job_policy::JobPolicy;
use crate::prelude::*;
use indexmap::IndexMap;

/// State of a batch job and its items.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Id of the job.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path to which the job was submitted.
    pub path: String,
    /// Model whose engines run the items.
    pub model: String,
    /// Oldest weight version that may generate its tokens.
    pub oldest_version: u64,
    /// Workspace that submitted it; `None` if it was submitted without a key.
    pub workspace: Option<String>,
    /// Time of the submission on the clock of this process.
    pub submitted: Millis,
    /// Latest time at which it may have been submitted, from which its items are kept.
    pub kept_from: Millis,
    /// Limits and rules of its route.
    pub policy: JobPolicy,
    /// Since when the newest known configuration has no route for it; `None` while there is one, or none
    /// is known.
    pub route_gone_since: Option<Millis>,
    /// Items by id, in the order of the submission; none once the job has ended.
    pub items: IndexMap<String, ItemState>,
    /// Indices of the items, most expected tokens first: a step completes sooner if its longest runs start
    /// first.
    pub longest_first: Vec<usize>,
    /// Approximate memory of the items, in bytes; 0 once the job has ended.
    pub size_bytes: usize,
    /// Whether the trainer has ended it.
    pub ended: bool,
}

impl JobState {
    /// Creates the state of an accepted job, with all items waiting.
    pub fn new(job: Job, policy: JobPolicy, submitted: Millis) -> Self {
        let size_bytes = job.items.iter().map(JobItem::size_bytes).sum();
        let items = job.items.into_iter();
        let items = items.map(|item| (item.id.clone(), ItemState::new(item)));
        let items: IndexMap<String, ItemState> = items.collect();
        let mut longest_first: Vec<usize> = (0..items.len()).collect();
        longest_first.sort_by_key(|index| std::cmp::Reverse(items[*index].item.expected_tokens));
        Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            oldest_version: job.oldest_version,
            workspace: job.workspace,
            submitted,
            kept_from: submitted,
            policy,
            route_gone_since: None,
            items,
            longest_first,
            size_bytes,
            ended: false,
        }
    }

    /// Returns the time at which the results are due.
    pub fn due(&self) -> Millis {
        self.submitted.plus(self.policy.due_after)
    }

    /// Whether an item may be assigned now.
    pub fn may_start(&self, item_index: usize, now: Millis) -> bool {
        let item = &self.items[item_index];
        item.phase == ItemPhase::Waiting && item.hold_until <= now
    }

    /// Returns the items that no agent has and none may still run.
    pub fn idle(&self, now: Millis) -> Vec<ItemKey> {
        let idle = self.items.iter().enumerate();
        let idle = idle.filter(|(index, _)| self.may_start(*index, now));
        idle.map(|(_, (id, _))| self.key(id)).collect()
    }

    /// Returns the running items, each with the name of its agent.
    pub fn running(&self) -> Vec<(String, ItemKey)> {
        let running = self.items.iter().filter_map(|(id, item)| {
            let ItemPhase::Running { agent } = &item.phase else {
                return None;
            };
            Some((agent.clone(), self.key(id)))
        });
        running.collect()
    }

    /// Returns the items without a result; none once the job has ended.
    pub fn unfinished(&self) -> Vec<ItemKey> {
        let unfinished = self
            .items
            .iter()
            .filter(|(_, item)| item.phase != ItemPhase::Finished);
        unfinished.map(|(id, _)| self.key(id)).collect()
    }

    /// Whether an item waits to be assigned.
    pub fn has_waiting_items(&self) -> bool {
        let mut items = self.items.values();
        items.any(|item| item.phase == ItemPhase::Waiting)
    }

    fn key(&self, item: &str) -> ItemKey {
        ItemKey {
            job: self.id.clone(),
            item: item.to_owned(),
        }
    }

    /// Ends the job and drops its items; those without a result get none.
    pub fn end(&mut self) {
        self.ended = true;
        self.items = IndexMap::new();
        self.longest_first = Vec::new();
        self.size_bytes = 0;
    }
}
