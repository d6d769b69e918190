//! The state of a leading dispatcher.

use super::endpoint_summary::EndpointSummary;
use super::leadership_state::LeadershipState;
use super::outbox::Outbox;
use crate::prelude::*;
use crate::store::job_record::JobRecord;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::batch::checkpoint_log::CheckpointLog;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::routing::caller_list::CallerList;

/// The state of a leading dispatcher; a standby holds an empty one.
#[derive(Debug, Default)]
pub struct State {
    /// Whether the dispatcher leads.
    pub leadership: LeadershipState,
    /// Jobs, agents and what runs where.
    pub scheduler: Scheduler,
    /// Results that are listed in the store or wait to be.
    pub log: ResultLog,
    /// Progress of the running items as of the last reports of their agents.
    pub checkpoints: CheckpointLog,
    /// Unix time in milliseconds at which each chunk of the log was written, by chunk number.
    pub chunks: IndexMap<u64, u64>,
    /// All jobs in the store, by id, ended ones included.
    pub jobs: IndexMap<String, JobRecord>,
    /// Ids of jobs in the store that could not be read yet.
    pub unread_jobs: IndexSet<String>,
    /// Version of the configuration from which the terms of the jobs were taken; `None` before the
    /// first.
    pub policies_version: Option<u64>,
    /// Ids of the jobs that have ended.
    pub ended: IndexSet<String>,
    /// Ids of jobs that had ended before this dispatcher led and whose results it has not read yet.
    pub jobs_with_unread_results: IndexSet<String>,
    /// Number of the first chunk that this dispatcher had to read before it led; 0 for all.
    pub read_from_chunk: u64,
    /// What each agent gets with the next response, by name of the agent.
    pub outboxes: IndexMap<String, Outbox>,
    /// Endpoints as the leader sends them to agents and entries.
    pub endpoints: EndpointSummary,
    /// Newest version of the configuration that was offered to agents; 0 for none.
    pub published_config_version: u64,
    /// Whether the open jobs take all memory that they may take.
    pub jobs_full: bool,
    /// Whether the store has the status that the machine of this leader is not empty yet.
    pub retirement_reported: bool,
    /// Time of the last report of any agent; `None` before the first.
    pub last_report: Option<Millis>,
    /// When the dispatcher began to lead; `None` before.
    pub leads_since: Option<Millis>,
    /// Processes that call endpoints.
    pub callers: CallerList,
    /// Start of the last call to the store which showed that no other dispatcher has appended a
    /// chunk to the result log.
    pub log_verified_at: Millis,
}

impl State {
    /// Returns the epoch in which the dispatcher leads; `None` on a standby or while recovering.
    pub fn leading_epoch(&self) -> Option<u64> {
        match self.leadership {
            LeadershipState::Leading { epoch } => Some(epoch),
            LeadershipState::Standby | LeadershipState::Recovering { .. } => None,
        }
    }

    /// Returns the number of the first chunk that the next leader must read before it leads.
    pub fn needed_from(&self) -> u64 {
        match self.leadership {
            LeadershipState::Leading { .. } => self.log.first_needed_chunk(&self.ended),
            LeadershipState::Standby | LeadershipState::Recovering { .. } => self.read_from_chunk,
        }
    }

    /// Marks an item as done and drops its checkpoint.
    pub fn finish(&mut self, key: &ItemKey) {
        self.scheduler.finish(key);
        self.checkpoints.remove(key);
    }

    /// Returns the outbox of an agent.
    pub fn outbox(&mut self, agent: &str) -> &mut Outbox {
        self.outboxes.entry(agent.to_owned()).or_default()
    }
}
