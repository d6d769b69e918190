//! The configuration that a process has in force.

use crate::contracts_in_force::{CONTRACT_PREFIX, ContractsInForce};
use crate::prelude::*;
use indexmap::IndexMap;

/// Objects in force by name; only a greater generation replaces one.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    generations: IndexMap<String, Generation>,
    entries: IndexMap<String, wire::JournalEntry>,
    contracts: ContractsInForce,
    digest: u64,
}

impl ConfigState {
    /// Takes entries that are newer than those in force; returns whether anything changed.
    pub fn take(&mut self, entries: &wire::JournalEntries) -> bool {
        let mut changed = false;
        for entry in &entries.entries {
            changed |= self.put(entry);
        }
        if changed {
            self.digest = self.compute_digest();
        }
        changed
    }

    /// Returns the digest of names and generations in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the contracts in force.
    pub fn contracts(&self) -> &ContractsInForce {
        &self.contracts
    }

    /// Returns all objects in force.
    pub fn entries(&self) -> impl Iterator<Item = &wire::JournalEntry> {
        self.entries.values()
    }

    /// Returns the priority that the contract gives to a class; 0 without one.
    pub fn priority_of(&self, class: &[u8]) -> u32 {
        let class = std::str::from_utf8(class).unwrap_or_default();
        let terms = self
            .contracts
            .of_class(class)
            .and_then(|found| found.classes.get(class));
        terms.map_or(0, |terms| terms.priority)
    }

    fn put(&mut self, entry: &wire::JournalEntry) -> bool {
        let generation = Generation(entry.generation);
        if self
            .generations
            .get(&entry.name)
            .is_some_and(|standing| *standing >= generation)
        {
            return false;
        }
        self.generations.insert(entry.name.clone(), generation);
        self.entries.insert(entry.name.clone(), entry.clone());
        if entry.name.starts_with(CONTRACT_PREFIX) && !self.contracts.put(&entry.name, &entry.value)
        {
            log::error!("event=config-unreadable name={}", entry.name);
        }
        true
    }

    fn compute_digest(&self) -> u64 {
        let mut names: Vec<&String> = self.generations.keys().collect();
        names.sort();
        let mut hasher = blake3::Hasher::new();
        for name in names {
            hasher.update(name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&self.generations[name].0.to_be_bytes());
        }
        let digest = hasher.finalize();
        u64::from_be_bytes(digest.as_bytes()[..8].try_into().unwrap_or_default())
    }
}
