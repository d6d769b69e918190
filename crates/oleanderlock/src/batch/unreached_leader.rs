//! Agents that don't reach the leader, as a standby knows them.
//!
//! Load pattern: the machine of the leader is partitioned from most machines, but not from the store
//! nor from all agents. The leader's pulse goes on, and it hears an agent, so neither its own rule nor
//! that of [`LeaderWatch`](super::leader_watch::LeaderWatch) ends its leadership, while the engines of
//! all other agents run dry. The agents that don't reach it report that to the other dispatchers, and
//! one that has such reports of more agents than the leader hears takes over.

use crate::prelude::*;
use crate::recent_names::RecentNames;

/// Time for which a report of an agent counts. An agent repeats it at least every 2.3 s: after the
/// timeout of a call to the leader, of asking for another leader, and a pause.
const REPORT_AGE_MAX: Millis = Millis(3000);
/// Time for which a leader counts an agent as heard after its last report; a waiting report is answered
/// and sent anew within 1.8 s.
pub const HEARD_WITHIN: Millis = Millis(2000);

/// Agents that don't reach the leader of an epoch, with the time of their last report.
///
/// Memory is bounded by the names of [`RecentNames`].
#[derive(Clone, Debug)]
pub struct UnreachedLeader {
    epoch: u64,
    agents: RecentNames,
}

impl Default for UnreachedLeader {
    fn default() -> Self {
        Self::of_epoch(0)
    }
}

impl UnreachedLeader {
    fn of_epoch(epoch: u64) -> Self {
        Self {
            epoch,
            agents: RecentNames::new(REPORT_AGE_MAX),
        }
    }

    /// Records that an agent does not reach the leader of `epoch`. Reports of the leaders before it are
    /// dropped.
    pub fn record(&mut self, now: Millis, epoch: u64, agent: &str) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            *self = Self::of_epoch(epoch);
        }
        self.agents.record(now, agent);
    }

    /// Returns the number of agents that don't reach the leader of `epoch`.
    pub fn count(&self, now: Millis, epoch: u64) -> usize {
        if epoch != self.epoch {
            return 0;
        }
        self.agents.count_within(now, REPORT_AGE_MAX)
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
