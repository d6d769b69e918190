//! Hedged attempts of an entry, with a budget for each target.

use crate::entry::attempt_progress::Progress;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;
use oleanderlock::hedge::{Hedge, HedgeCandidate};
use oleanderlock::policy::Policy;
use parking_lot::Mutex;
use std::sync::Arc;

/// Decides on hedged attempts; cheap to clone.
///
/// Bounded by the targets for which requests are made.
#[derive(Clone, Debug)]
pub struct HedgeController {
    policy: Policy,
    targets: Arc<Mutex<IndexMap<Bytes, Hedge>>>,
}

impl HedgeController {
    /// Creates empty budgets.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            targets: Arc::default(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&self, target: &Bytes, percent: u32) {
        self.with(target, |hedge| {
            hedge.set_percent(percent);
            hedge.first_attempt();
        });
    }

    /// Learns from a whole answer.
    pub fn observe(&self, target: &Bytes, progress: Progress) {
        let (Some(began), Some(first), Some(latest)) = (
            progress.began_at,
            progress.first_token_at,
            progress.latest_token_at,
        ) else {
            return;
        };
        self.with(target, |hedge| {
            hedge.observe_first_token(first.since(began));
            hedge.observe_token_time(latest.since(first), progress.tokens);
        });
    }

    /// Returns the requests that get a hedged attempt now.
    pub fn choose(&self, target: &Bytes, candidates: &[HedgeCandidate]) -> Vec<RequestId> {
        self.with(target, |hedge| hedge.choose(candidates))
    }

    fn with<T>(&self, target: &Bytes, f: impl FnOnce(&mut Hedge) -> T) -> T {
        let mut targets = self.targets.lock();
        let policy = self.policy;
        f(targets
            .entry(target.clone())
            .or_insert_with(|| Hedge::new(policy, 0)))
    }
}
