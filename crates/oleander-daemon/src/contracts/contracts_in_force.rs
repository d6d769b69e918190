//! The contracts that a process has in force.

use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::shares::ClassGrant;
use std::sync::Arc;

/// Contracts by customer.
#[derive(Clone, Debug, Default)]
pub struct ContractsInForce {
    contracts: IndexMap<String, Arc<Contract>>,
}

impl ContractsInForce {
    /// Puts the contract in an object's text in force; an unreadable one changes nothing.
    ///
    /// Returns whether the text was a contract. Only checked contracts are written to the store,
    /// so another text is a fault of whoever wrote it.
    pub fn put(&mut self, name: &str, text: &str) -> bool {
        let Ok(contract) = Contract::parse(text) else {
            return false;
        };
        self.contracts.insert(name.to_owned(), Arc::new(contract));
        true
    }

    /// Takes a deleted contract out of force.
    pub fn remove(&mut self, name: &str) {
        self.contracts.shift_remove(name);
    }

    /// Returns the contract that covers a class.
    pub fn of_class(&self, class: &str) -> Option<&Arc<Contract>> {
        self.contracts
            .values()
            .find(|contract| contract.classes.contains_key(class))
    }

    /// Returns the contract that covers a plain service.
    pub fn of_service(&self, service: &str) -> Option<&Arc<Contract>> {
        self.contracts
            .values()
            .find(|contract| contract.services.contains_key(service))
    }

    /// Returns the first class that serves interactive callers.
    pub fn default_class(&self) -> Option<String> {
        let classes = self
            .contracts
            .values()
            .flat_map(|contract| &contract.classes);
        let mut interactive = classes.filter(|(_, terms)| terms.kind == WorkKind::Interactive);
        interactive.next().map(|(name, _)| name.clone())
    }

    /// Returns what the contracts grant at an endpoint.
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

    /// Returns the longest graceful shutdown that a contract grants.
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
