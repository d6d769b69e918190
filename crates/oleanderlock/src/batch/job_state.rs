//! A batch job and where its items stand.

use super::group_state::GroupState;
use super::item_key::ItemKey;
use super::item_state::{ItemPhase, ItemState};
use super::job::Job;
use super::job_terms::JobTerms;
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
    pub terms: JobTerms,
    /// Items by id, in the order of the submission.
    pub items: IndexMap<String, ItemState>,
    /// Groups by name, in the order of the submission.
    pub groups: IndexMap<String, GroupState>,
    /// Whether the trainer has ended it.
    pub ended: bool,
}

impl JobState {
    /// A job that was just accepted.
    pub fn new(job: Job, terms: JobTerms, submitted: Millis) -> Self {
        let mut groups: IndexMap<String, GroupState> = IndexMap::new();
        let mut items = IndexMap::new();
        for (place, item) in job.items.into_iter().enumerate() {
            let group = groups.entry(item.group.clone()).or_default();
            group.items.push(place);
            items.insert(item.id.clone(), ItemState::new(item));
        }
        Self {
            id: job.id,
            host: job.host,
            path: job.path,
            model: job.model,
            oldest_version: job.oldest_version,
            submitted,
            terms,
            items,
            groups,
            ended: false,
        }
    }

    /// Point at which the results are due.
    pub fn due(&self) -> Millis {
        self.submitted.plus(self.terms.due_after)
    }

    /// Returns the groups, by place, that are expected to take longest first: a step is whole
    /// sooner when its long runs begin first.
    pub fn groups_longest_first(&self) -> Vec<usize> {
        let expected = |place: &usize| {
            let items = self.groups[*place].items.iter();
            let tokens = items.filter_map(|item| self.items[*item].item.expected_tokens);
            tokens.max().unwrap_or_default()
        };
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_by_key(|place| std::cmp::Reverse(expected(place)));
        order
    }

    /// Returns the places of a group's items that wait for an engine.
    pub fn waiting_in(&self, group: &GroupState) -> Vec<usize> {
        let waits = |place: &&usize| self.items[**place].phase == ItemPhase::Waiting;
        group.items.iter().filter(waits).copied().collect()
    }

    /// Returns which agents have which items.
    pub fn running(&self) -> Vec<(String, ItemKey)> {
        let running = self.items.iter().filter_map(|(id, item)| {
            let ItemPhase::Running { agent, .. } = &item.phase else {
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
