//! Decides which requests get a hedged attempt, with a budget for each target.

use crate::entry::progress::Progress;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;
use oleanderlock::hedge::{Hedge, HedgeCandidate};
use oleanderlock::policy::Policy;
use parking_lot::Mutex;
use std::sync::Arc;

/// Decides which requests get a hedged attempt; clones share the budgets.
///
/// Holds one budget for each target that was ever requested.
#[derive(Clone, Debug)]
pub struct HedgeController {
    policy: Policy,
    targets: Arc<Mutex<IndexMap<Bytes, Hedge>>>,
}

impl HedgeController {
    /// Creates a controller without budgets.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            targets: Arc::default(),
        }
    }

    /// Counts the first attempt of a request, which adds to the target's budget; `percent` is the
    /// number of hedged attempts that the contract allows for each 100 first attempts.
    pub fn first_attempt(&self, target: &Bytes, percent: u32) {
        self.with_hedge(target, |hedge| {
            hedge.set_percent(percent);
            hedge.first_attempt();
        });
    }

    /// Records the token times of a complete answer, against which stragglers are measured; an
    /// answer without tokens is ignored.
    pub fn observe(&self, target: &Bytes, progress: Progress) {
        let (Some(began), Some(first), Some(latest)) = (
            progress.began_at,
            progress.first_token_at,
            progress.latest_token_at,
        ) else {
            return;
        };
        self.with_hedge(target, |hedge| {
            hedge.observe_first_token(first.since(began));
            hedge.observe_token_time(latest.since(first), progress.tokens);
        });
    }

    /// Returns the candidates that get a hedged attempt now; each spends from the budget.
    pub fn choose(&self, target: &Bytes, candidates: &[HedgeCandidate]) -> Vec<RequestId> {
        self.with_hedge(target, |hedge| hedge.choose(candidates))
    }

    fn with_hedge<T>(&self, target: &Bytes, f: impl FnOnce(&mut Hedge) -> T) -> T {
        let mut targets = self.targets.lock();
        let policy = self.policy;
        f(targets
            .entry(target.clone())
            .or_insert_with(|| Hedge::new(policy, 0)))
    }
}
