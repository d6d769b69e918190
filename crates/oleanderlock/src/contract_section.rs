//! Reads the keys of one section of a contract file.

use crate::contract_fault::{ContractFault, FaultKind};
use crate::ini_lines::IniLines;
use crate::units::ValueFault;
use indexmap::IndexMap;
use ini::Properties;

/// A value and where it stands.
#[derive(Clone, Debug)]
struct Entry {
    value: String,
    line: usize,
}

/// The keys of one section, taken one after the other.
#[derive(Debug)]
pub(crate) struct ContractSection {
    name: String,
    line: usize,
    entries: IndexMap<String, Entry>,
    faults: Vec<ContractFault>,
}

impl ContractSection {
    /// Collects the keys of the section that stands for the `nth` time, and reports those that
    /// stand twice or that are not in `valid`.
    pub(crate) fn open(
        name: &str,
        nth: usize,
        properties: &Properties,
        lines: &IniLines,
        valid: &[&str],
    ) -> Self {
        let mut section = Self {
            name: name.to_owned(),
            line: lines.line(name, "", nth),
            entries: IndexMap::new(),
            faults: Vec::new(),
        };
        let mut seen = IndexMap::<&str, usize>::new();
        for (key, value) in properties.iter() {
            let nth = seen.entry(key).or_default();
            let line = lines.line(name, key, *nth);
            *nth += 1;
            section.add(key, value, line, valid);
        }
        section
    }

    fn add(&mut self, key: &str, value: &str, line: usize, valid: &[&str]) {
        if !valid.contains(&key) {
            let valid = valid.join(", ");
            return self.fault(line, key, FaultKind::UnknownKey { valid });
        }
        if let Some(first) = self.entries.get(key) {
            let first_line = first.line;
            return self.fault(line, key, FaultKind::DuplicateKey { first_line });
        }
        let value = value.trim().to_owned();
        self.entries.insert(key.to_owned(), Entry { value, line });
    }

    /// Reports a fault at `line`.
    pub(crate) fn fault(&mut self, line: usize, key: &str, kind: FaultKind) {
        self.faults.push(ContractFault {
            line,
            section: self.name.clone(),
            key: key.to_owned(),
            kind,
        });
    }

    /// Reports a fault where `key` stands, or at the section header.
    pub(crate) fn fault_at(&mut self, key: &str, kind: FaultKind) {
        self.fault(self.line_of(key), key, kind);
    }

    /// Returns the line of `key`, or of the section header when the key is missing.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entries.get(key).map_or(self.line, |entry| entry.line)
    }

    /// Reads a key that must stand; reports it when it does not.
    pub(crate) fn required<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, ValueFault>,
    ) -> Option<T> {
        if !self.entries.contains_key(key) {
            self.fault(self.line, key, FaultKind::MissingKey);
            return None;
        }
        self.optional(key, parse)
    }

    /// Reads a key that may be missing.
    pub(crate) fn optional<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, ValueFault>,
    ) -> Option<T> {
        let entry = self.entries.get(key)?.clone();
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(reason) => {
                let value = entry.value;
                self.fault(entry.line, key, FaultKind::Value { value, reason });
                None
            }
        }
    }

    /// Returns all faults that were reported.
    pub(crate) fn into_faults(self) -> Vec<ContractFault> {
        self.faults
    }
}
