//! Errors of a contract file.

use crate::contract_error_kind::ContractErrorKind;
use derive_more::{Display, Error};

/// One error of a contract file and its position.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {}{kind}", self.position())]
pub struct ContractError {
    /// Line in the file, counted from one.
    pub line: usize,
    /// Name of the section, such as `class order-desk`; empty before the first section.
    pub section: String,
    /// Name of the key; empty if the error concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub kind: ContractErrorKind,
}

impl ContractError {
    fn position(&self) -> String {
        match (self.section.as_str(), self.key.as_str()) {
            ("", "") => String::new(),
            ("", key) => format!("{key}: "),
            (section, "") => format!("[{section}]: "),
            (section, key) => format!("[{section}] {key}: "),
        }
    }
}
