//! Agents that don't reach the leader, as a standby knows them.
//!
//! Load pattern: the machine of the leader is partitioned from most machines, but not from the store
//! nor from all agents. The leader's pulse goes on, and it hears an agent, so neither its own rule nor
//! that of [`LeaderWatch`](super::leader_watch::LeaderWatch) ends its leadership, while the engines of
//! all other agents run dry. The agents that don't reach it report that to the other dispatchers, and
//! one that has such reports of more agents than the leader hears takes over.

use crate::prelude::*;
use indexmap::IndexMap;

/// Time for which a report of an agent counts. An agent repeats it at least every 2.3 s: after the
/// timeout of a call to the leader, of asking for another leader, and a pause.
const REPORT_AGE_MAX: Millis = Millis(3000);
/// Time for which a leader counts an agent as heard after its last report; a waiting report is answered
/// and sent anew within 1.8 s.
pub const HEARD_WITHIN: Millis = Millis(2000);
/// Most agents whose reports are kept; further ones do not count.
const AGENTS_MAX: usize = 8192;

/// Agents that don't reach the leader of an epoch, with the time of their last report.
///
/// Memory is bounded by [`AGENTS_MAX`] names.
#[derive(Clone, Debug, Default)]
pub struct UnreachedLeader {
    epoch: u64,
    agents: IndexMap<String, Millis>,
}

impl UnreachedLeader {
    /// Records that an agent does not reach the leader of `epoch`. Reports of the leaders before it are
    /// dropped.
    pub fn record(&mut self, now: Millis, epoch: u64, agent: &str) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            *self = Self::default();
            self.epoch = epoch;
        }
        self.agents.retain(|_, at| now.since(*at) <= REPORT_AGE_MAX);
        if let Some(at) = self.agents.get_mut(agent) {
            *at = now;
        } else if self.agents.len() < AGENTS_MAX {
            self.agents.insert(agent.to_owned(), now);
        }
    }

    /// Returns the number of agents that don't reach the leader of `epoch`.
    pub fn count(&self, now: Millis, epoch: u64) -> usize {
        if epoch != self.epoch {
            return 0;
        }
        let recent = self.agents.values();
        recent
            .filter(|at| now.since(**at) <= REPORT_AGE_MAX)
            .count()
    }
}

/// Whether a standby replaces a leader that `unreached_by` agents don't reach, that has led for
/// `leads_for` and has heard `heard` agents within [`HEARD_WITHIN`].
///
/// An agent that reports both to the leader and to the standby counts on both sides. Equal numbers
/// change nothing, so two dispatchers don't replace each other in turn.
pub fn must_be_replaced(unreached_by: usize, leads_for: Millis, heard: usize) -> bool {
    leads_for >= HEARD_WITHIN && unreached_by > heard
}
