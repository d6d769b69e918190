//! Errors of parsing a value with a unit.

use derive_more::{Display, Error};

/// Why a value is malformed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ValueError {
    /// The number has no unit.
    #[display("has no unit; valid units: {valid}")]
    MissingUnit {
        /// The valid units.
        valid: &'static str,
    },
    /// The number is followed by an unknown unit.
    #[display("has unknown unit `{unit}`; valid units: {valid}")]
    UnknownUnit {
        /// The text after the number.
        unit: String,
        /// The valid units.
        valid: &'static str,
    },
    /// The value does not start with a whole number.
    #[display("must be {expected}")]
    NotANumber {
        /// Description of a valid value.
        expected: String,
    },
    /// The number is greater than the limit.
    #[display("is too large; at most {max}")]
    TooLarge {
        /// The limit, with its unit.
        max: String,
    },
    /// The value is not one of a closed list.
    #[display("must be one of: {valid}")]
    NotOneOf {
        /// The valid values, separated by commas.
        valid: String,
    },
    /// The name is empty, too long, or contains an invalid character.
    #[display("must be 1 to 64 of the characters a-z A-Z 0-9 - _ .")]
    BadName,
}
