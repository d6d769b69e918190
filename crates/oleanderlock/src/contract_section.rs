//! One section of a contract file.

use crate::contract_error::ContractError;
use crate::contract_error_kind::ContractErrorKind;
use crate::ini_lines::IniLines;
use crate::value_error::ValueError;
use indexmap::IndexMap;
use ini::Properties;

/// A value and its line.
#[derive(Clone, Debug)]
struct Entry {
    value: String,
    line: usize,
}

/// The keys of one section, and the errors found so far.
#[derive(Debug)]
pub(crate) struct ContractSection {
    name: String,
    line: usize,
    entries: IndexMap<String, Entry>,
    errors: Vec<ContractError>,
}

impl ContractSection {
    /// Collects the keys of the `nth` section named `name`, counted from zero. Reports duplicate
    /// keys and keys that are not in `valid`.
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
            errors: Vec::new(),
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
            return self.report(line, key, ContractErrorKind::UnknownKey { valid });
        }
        if let Some(first) = self.entries.get(key) {
            let first_line = first.line;
            return self.report(line, key, ContractErrorKind::DuplicateKey { first_line });
        }
        let value = value.trim().to_owned();
        self.entries.insert(key.to_owned(), Entry { value, line });
    }

    /// Adds an error at `line`.
    pub(crate) fn report(&mut self, line: usize, key: &str, kind: ContractErrorKind) {
        self.errors.push(ContractError {
            line,
            section: self.name.clone(),
            key: key.to_owned(),
            kind,
        });
    }

    /// Adds an error at the line of `key`, or at the section header if the key is missing.
    pub(crate) fn report_at(&mut self, key: &str, kind: ContractErrorKind) {
        self.report(self.line_of(key), key, kind);
    }

    /// Returns the line of `key`, or of the section header if the key is missing.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entries.get(key).map_or(self.line, |entry| entry.line)
    }

    /// Parses a mandatory key. Returns `None` and adds an error if it is missing or malformed.
    pub(crate) fn required<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        if !self.entries.contains_key(key) {
            self.report(self.line, key, ContractErrorKind::MissingKey);
            return None;
        }
        self.optional(key, parse)
    }

    /// Parses an optional key. Returns `None` if it is missing or malformed; the latter adds an
    /// error.
    pub(crate) fn optional<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        let entry = self.entries.get(key)?.clone();
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(reason) => {
                let value = entry.value;
                self.report(entry.line, key, ContractErrorKind::Value { value, reason });
                None
            }
        }
    }

    /// Returns all errors of the section.
    pub(crate) fn into_errors(self) -> Vec<ContractError> {
        self.errors
    }
}
