//! A difference between two contracts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One difference between two contracts.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ContractChange {
    /// Only the later contract has the section.
    #[display("[{section}] added")]
    Added {
        /// Name of the section, such as `class advisor`.
        section: String,
    },
    /// Only the earlier contract has the section.
    #[display("[{section}] removed")]
    Removed {
        /// Name of the section.
        section: String,
    },
    /// The value of a key differs.
    #[display("[{section}] {key}: {from} -> {to}")]
    Changed {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value in the earlier contract, with its unit.
        from: String,
        /// Value in the later contract, with its unit.
        to: String,
    },
}
