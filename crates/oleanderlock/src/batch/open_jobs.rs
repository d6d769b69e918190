//! Which jobs an agent may go on with.
//!
//! Load pattern: an agent doesn't reach the leader, or a new leader hasn't read everything yet, while a
//! trainer ends its job elsewhere. What the agent was told before holds only for a limited time, and is
//! then confirmed by the store, so that neither ended jobs run on nor open ones wait for a leader.

use crate::prelude::*;
use indexmap::IndexMap;

/// Parts of the time within which an ended job must reach no endpoint any more, in percent: the interval
/// at which the leader reads new end marks, the age at which an agent reads the end mark of a job itself,
/// and the age up to which a confirmation holds. The rest is for a request on its way to an endpoint.
const LIST_PERCENT: u64 = 35;
const READ_PERCENT: u64 = 69;
const VALID_PERCENT: u64 = 86;
/// Time after a failed read before the store is asked again.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Which jobs an agent may go on with, by when they were last known to be open.
///
/// Memory is bounded by the number of jobs whose items the agent holds; see [`OpenJobs::retain`].
#[derive(Clone, Debug)]
pub struct OpenJobs {
    end_within: Millis,
    /// Time as of which a leader has told of all ends.
    told_at: Option<Millis>,
    /// When a leader last answered a call, whether it knew all ends or not.
    heard_at: Option<Millis>,
    /// When the last read that failed was sent.
    failed_at: Option<Millis>,
    /// When the last read was sent that found a job open, by job.
    read_at: IndexMap<String, Millis>,
}

impl OpenJobs {
    /// Returns a state in which no job is known to be open; `end_within` is the time after the
    /// acknowledgement of a job's end within which no item of it may reach an endpoint any more.
    pub fn new(end_within: Millis) -> Self {
        Self {
            end_within,
            told_at: None,
            heard_at: None,
            failed_at: None,
            read_at: IndexMap::new(),
        }
    }

    /// Returns the interval at which a leader reads new end marks.
    pub fn list_interval(end_within: Millis) -> Millis {
        percent(end_within, LIST_PERCENT)
    }

    /// Records the response of a leader, received at `now`, to a call sent at `sent_at`; it knows all ends
    /// up to `confirmed_at`, `None` if it doesn't know up to when.
    pub fn record_leader(&mut self, now: Millis, sent_at: Millis, confirmed_at: Option<Millis>) {
        self.heard_at = self.heard_at.max(Some(now));
        self.told_at = self.told_at.max(confirmed_at.map(|at| at.min(sent_at)));
    }

    /// Records that a read sent at `sent_at` has found no end mark of a job.
    pub fn record_open(&mut self, job: &str, sent_at: Millis) {
        self.read_at.insert(job.to_owned(), sent_at);
        self.failed_at = None;
    }

    /// Records that a read sent at `sent_at` has failed.
    pub fn record_failed(&mut self, sent_at: Millis) {
        self.failed_at = Some(sent_at);
    }

    /// Forgets all jobs but those for which `is_held` holds.
    pub fn retain(&mut self, is_held: impl Fn(&str) -> bool) {
        self.read_at.retain(|job, _| is_held(job));
    }

    /// Whether items and scoring calls of a job may be sent to endpoints.
    ///
    /// While the store doesn't answer this agent, a job goes on: without the store, no end is acknowledged,
    /// and most jobs are open.
    pub fn is_open(&self, now: Millis, job: &str) -> bool {
        self.is_valid(now, self.confirmed_at(job)) || self.store_is_silent(now)
    }

    /// Whether the store has not answered lately.
    pub fn store_is_silent(&self, now: Millis) -> bool {
        self.is_valid(now, self.failed_at)
    }

    /// Whether the end mark of a job is to be read from the store.
    pub fn must_read(&self, now: Millis, job: &str) -> bool {
        let is_recent =
            |at: Option<Millis>, limit: Millis| at.is_some_and(|at| now.since(at) < limit);
        let read_after = percent(self.end_within, READ_PERCENT);
        !is_recent(self.confirmed_at(job), read_after) && !is_recent(self.failed_at, RETRY_AFTER)
    }

    /// Returns the time since a leader last answered a call.
    pub fn leader_silence(&self, now: Millis) -> Millis {
        self.heard_at.map_or(Millis::MAX, |at| now.since(at))
    }

    fn confirmed_at(&self, job: &str) -> Option<Millis> {
        self.told_at.max(self.read_at.get(job).copied())
    }

    fn is_valid(&self, now: Millis, at: Option<Millis>) -> bool {
        at.is_some_and(|at| now.since(at) <= percent(self.end_within, VALID_PERCENT))
    }
}

fn percent(time: Millis, percent: u64) -> Millis {
    Millis(time.0 * percent / 100)
}
