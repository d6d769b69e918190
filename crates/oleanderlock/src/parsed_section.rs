//! A parsed section of a contract file.

use crate::contract_section::ContractSection;

/// A section with its errors, and its terms unless one of them could not be parsed.
#[derive(Debug)]
pub(crate) struct ParsedSection<T> {
    pub(crate) section: ContractSection,
    pub(crate) terms: Option<T>,
}
