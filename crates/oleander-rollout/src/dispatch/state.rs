//! What a leading dispatcher knows.

use super::endpoint_summary::EndpointSummary;
use super::leadership_state::LeadershipState;
use super::outbox::Outbox;
use crate::prelude::*;
use crate::store::job_objects::JobRecord;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::batch::board::Board;
use oleanderlock::batch::checkpoint_log::CheckpointLog;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::result_log::ResultLog;

/// What a leading dispatcher knows.
#[derive(Debug, Default)]
pub struct State {
    /// Whether the dispatcher leads.
    pub leadership: LeadershipState,
    /// Jobs, agents and what runs where.
    pub board: Board,
    /// Results.
    pub log: ResultLog,
    /// What the runs had made when their agents last told.
    pub checkpoints: CheckpointLog,
    /// Unix time at which each chunk of the log was written, by number.
    pub chunks: IndexMap<u64, u64>,
    /// All jobs that are kept.
    pub jobs: IndexMap<String, JobRecord>,
    /// Jobs that have ended.
    pub ended: IndexSet<String>,
    /// Jobs that had ended before it led and whose results it has not read yet.
    pub unread: IndexSet<String>,
    /// Number of the first chunk that it had to read before it led.
    pub read_from: u64,
    /// What waits for each agent.
    pub outboxes: IndexMap<String, Outbox>,
    /// Endpoints as the leader sends them to agents and entries.
    pub endpoints: EndpointSummary,
    /// Newest version of the configuration that was offered to agents; 0 for none.
    pub published_config: u64,
    /// When an agent reported last; `None` before the first.
    pub agent_heard: Option<Millis>,
    /// Start of the last call that showed that no other dispatcher has listed results.
    pub verified: Millis,
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
            LeadershipState::Leading { .. } => self.log.needed_from(&self.ended),
            LeadershipState::Standby | LeadershipState::Recovering { .. } => self.read_from,
        }
    }

    /// Notes that an item has a result.
    pub fn finish(&mut self, key: &ItemKey) {
        self.board.finish(key);
        self.checkpoints.remove(key);
    }

    /// Returns what waits for an agent.
    pub fn outbox(&mut self, agent: &str) -> &mut Outbox {
        self.outboxes.entry(agent.to_owned()).or_default()
    }
}
