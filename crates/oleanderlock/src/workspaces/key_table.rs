//! Lookup of workspaces by key.

use super::key_conflict::KeyConflict;
use super::key_digest::KeyDigest;
use super::key_holder::KeyHolder;
use super::workspace::Workspace;
use std::collections::HashMap;
use std::sync::Arc;

/// The keys of one configuration, indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    /// The workspaces, in the order of the configuration.
    workspaces: Vec<(Arc<str>, Option<u32>)>,
    /// Index into `workspaces` and number of the key, by digest.
    by_digest: HashMap<KeyDigest, (usize, usize)>,
    /// Keys that more than one workspace holds.
    pub conflicts: Vec<KeyConflict>,
}

impl KeyTable {
    /// Builds the lookup table of the workspaces of a configuration. A key that two of them hold
    /// belongs to the first.
    pub fn new(workspaces: &[Workspace]) -> Self {
        let keys = workspaces.iter().map(|workspace| workspace.keys.len());
        let mut table = Self {
            workspaces: Vec::with_capacity(workspaces.len()),
            by_digest: HashMap::with_capacity(keys.sum()),
            conflicts: Vec::new(),
        };
        for (index, workspace) in workspaces.iter().enumerate() {
            let name: Arc<str> = workspace.name.as_str().into();
            table.workspaces.push((name, workspace.rank));
            for (number, digest) in workspace.keys.iter().enumerate() {
                table.add(index, number, *digest);
            }
        }
        table
    }

    fn add(&mut self, index: usize, number: usize, digest: KeyDigest) {
        let (first, _) = *self.by_digest.entry(digest).or_insert((index, number));
        let (workspace, holder) = (&self.workspaces[index].0, &self.workspaces[first].0);
        if workspace != holder {
            self.conflicts.push(KeyConflict {
                workspace: workspace.to_string(),
                number,
                holder: holder.to_string(),
            });
        }
    }

    /// Returns the workspace that a key belongs to; `None` if no workspace holds it.
    pub fn find(&self, digest: &KeyDigest) -> Option<KeyHolder> {
        let (index, number) = *self.by_digest.get(digest)?;
        let (workspace, rank) = &self.workspaces[index];
        Some(KeyHolder {
            workspace: Arc::clone(workspace),
            rank: *rank,
            number,
        })
    }
}
