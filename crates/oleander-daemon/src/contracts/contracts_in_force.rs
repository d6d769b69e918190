//! The contracts that a process has in force.

use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::shares::ClassGrant;
use std::sync::Arc;

/// Parsed contracts by object name.
#[derive(Clone, Debug, Default)]
pub struct ContractsInForce {
    contracts: IndexMap<String, Arc<Contract>>,
}

impl ContractsInForce {
    /// Puts a contract in force; returns false and changes nothing when its text is invalid.
    ///
    /// Entries write only valid contracts to the store, so an invalid one was written by another
    /// program.
    pub fn put(&mut self, name: &str, text: &str) -> bool {
        let Ok(contract) = Contract::parse(text) else {
            return false;
        };
        self.contracts.insert(name.to_owned(), Arc::new(contract));
        true
    }

    /// Removes a deleted contract.
    pub fn remove(&mut self, name: &str) {
        self.contracts.shift_remove(name);
    }

    /// Returns the contract with this class.
    pub fn of_class(&self, class: &str) -> Option<&Arc<Contract>> {
        self.contracts
            .values()
            .find(|contract| contract.classes.contains_key(class))
    }

    /// Returns the contract with this plain service.
    pub fn of_service(&self, service: &str) -> Option<&Arc<Contract>> {
        self.contracts
            .values()
            .find(|contract| contract.services.contains_key(service))
    }

    /// Returns the first interactive class: the class of calls that name none.
    pub fn default_class(&self) -> Option<String> {
        let classes = self
            .contracts
            .values()
            .flat_map(|contract| &contract.classes);
        let mut interactive = classes.filter(|(_, terms)| terms.kind == WorkKind::Interactive);
        interactive.next().map(|(name, _)| name.clone())
    }

    /// Returns the classes of all contracts with their shares of an endpoint.
    pub fn grants(&self) -> Vec<ClassGrant> {
        let classes = self
            .contracts
            .values()
            .flat_map(|contract| &contract.classes);
        let grants = classes.map(|(name, terms)| ClassGrant {
            name: name.clone().into(),
            share_percent: terms.share_percent,
            latency_bound: terms.latency_bound,
        });
        grants.collect()
    }

    /// Returns the longest drain time of all contracts; `None` without contracts.
    pub fn drain(&self) -> Option<Millis> {
        self.contracts
            .values()
            .map(|contract| contract.limits.drain)
            .max()
    }

    /// Returns all contracts by object name.
    pub fn all(&self) -> &IndexMap<String, Arc<Contract>> {
        &self.contracts
    }
}
