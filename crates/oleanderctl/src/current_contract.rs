//! The contract that an entry has in force.

use serde::Deserialize;

/// The contract of a customer that an entry has in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct CurrentContract {
    /// Its generation; each accepted amendment has a greater one.
    pub generation: u64,
    /// Its text in INI format.
    pub text: String,
}
