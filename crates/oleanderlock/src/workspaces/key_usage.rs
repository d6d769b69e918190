//! How often each key and workspace is used.

use super::key_holder::KeyHolder;
use super::key_use::KeyUse;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

/// Requests by key and by workspace since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct KeyUsage {
    by_key: HashMap<(Arc<str>, usize), u64>,
    by_workspace: HashMap<Arc<str>, u64>,
}

impl KeyUsage {
    /// Counts a request.
    pub fn record(&mut self, holder: &KeyHolder) {
        let key = (Arc::clone(&holder.workspace), holder.number);
        *self.by_key.entry(key).or_default() += 1;
        let workspace = Arc::clone(&holder.workspace);
        *self.by_workspace.entry(workspace).or_default() += 1;
    }

    /// Takes the use of the `max` most used keys, most used first, and the sum of the requests with
    /// all others.
    pub fn take_keys(&mut self, max: usize) -> (Vec<KeyUse>, u64) {
        let (most, others) = most_used(std::mem::take(&mut self.by_key), max);
        let most = most
            .into_iter()
            .map(|((workspace, number), requests)| KeyUse {
                workspace,
                number,
                requests,
            });
        (most.collect(), others)
    }

    /// Takes the requests by workspace.
    pub fn take_workspaces(&mut self) -> HashMap<Arc<str>, u64> {
        std::mem::take(&mut self.by_workspace)
    }
}

/// Returns the `max` highest counts, highest first and equal ones by name, and the sum of the others.
pub fn most_used<K: Ord + Hash>(counts: HashMap<K, u64>, max: usize) -> (Vec<(K, u64)>, u64) {
    let mut counts: Vec<(K, u64)> = counts.into_iter().collect();
    counts.sort_by(|(name, count), (other, others)| others.cmp(count).then(name.cmp(other)));
    let rest = counts.split_off(max.min(counts.len()));
    (counts, rest.iter().map(|(_, count)| count).sum())
}
