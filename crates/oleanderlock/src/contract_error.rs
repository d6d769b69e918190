//! Faults of a contract file.

use crate::prelude::*;
use crate::units::{ValueError, format_time};
use derive_more::{Display, Error};

/// One fault of a contract file, with where it stands.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {}{kind}", self.place())]
pub struct ContractError {
    /// Line of the file, counted from one.
    pub line: usize,
    /// Name of the section, such as `class order-desk`; empty before the first section.
    pub section: String,
    /// Name of the key; empty when the fault is one of the whole section.
    pub key: String,
    /// What is wrong.
    pub kind: ContractErrorKind,
}

impl ContractError {
    fn place(&self) -> String {
        match (self.section.as_str(), self.key.as_str()) {
            ("", "") => String::new(),
            ("", key) => format!("{key}: "),
            (section, "") => format!("[{section}]: "),
            (section, key) => format!("[{section}] {key}: "),
        }
    }
}

/// What is wrong with a contract file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ContractErrorKind {
    /// The text is no INI file.
    #[display("can't be read as INI: {reason}")]
    Syntax {
        /// What the INI reader says.
        reason: String,
    },
    /// The text is longer than the limit.
    #[display("is too large; at most {max_bytes} bytes")]
    TextTooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// A key stands before the first section.
    #[display("stands outside of a section; valid sections: {valid}")]
    OutsideSection {
        /// The sections that a contract has.
        valid: &'static str,
    },
    /// No section has this name.
    #[display("unknown section; valid sections: {valid}")]
    UnknownSection {
        /// The sections that a contract has.
        valid: &'static str,
    },
    /// The same section stands twice.
    #[display("the section stands twice; the first is in line {first_line}")]
    DuplicateSection {
        /// Where it stands first.
        first_line: usize,
    },
    /// There are more classes or services than the limit.
    #[display("too many sections of this kind; at most {max}")]
    TooManySections {
        /// The limit.
        max: usize,
    },
    /// A section that a contract must have is missing.
    #[display("the section is missing")]
    MissingSection,
    /// The section has no such key.
    #[display("unknown key; valid keys: {valid}")]
    UnknownKey {
        /// The keys of the section.
        valid: String,
    },
    /// The same key stands twice in a section.
    #[display("the key stands twice; the first is in line {first_line}")]
    DuplicateKey {
        /// Where it stands first.
        first_line: usize,
    },
    /// A key that the section must have is missing.
    #[display("the key is missing")]
    MissingKey,
    /// The value can't be read.
    #[display("`{value}` {reason}")]
    Value {
        /// The value as it stands.
        value: String,
        /// Why it can't be read.
        reason: ValueError,
    },
    /// The shares of all classes sum up to more than the whole.
    #[display("the shares of all classes sum up to {sum_percent}%; at most 100%")]
    ShareSum {
        /// The sum in percent.
        sum_percent: u64,
    },
    /// A bound of zero can't be met.
    #[display("zero can't be met; the least valid value is {least}")]
    Zero {
        /// The least valid value.
        least: &'static str,
    },
    /// An answer within the latency bound may come after the deadline.
    #[display(
        "the latency bound {} is above the deadline {}; valid: up to the deadline",
        format_time(*bound),
        format_time(*deadline)
    )]
    BoundAboveDeadline {
        /// The latency bound.
        bound: Millis,
        /// The deadline.
        deadline: Millis,
    },
    /// Samples without a staleness bound.
    #[display(
        "a class of kind samples needs a staleness bound, for example `staleness = 2 versions`"
    )]
    SamplesWithoutStaleness,
    /// A staleness bound on work that no trainer takes.
    #[display("a staleness bound is valid for kind samples only")]
    StalenessOfInteractive,
    /// The service names a class that the contract does not have.
    #[display("unknown class `{class}`; valid classes: {valid}")]
    UnknownClass {
        /// The class that is named.
        class: String,
        /// The interactive classes of the contract.
        valid: String,
    },
    /// The service names a class for samples.
    #[display("class `{class}` is of kind samples; valid classes: {valid}")]
    ServiceOfSamples {
        /// The class that is named.
        class: String,
        /// The interactive classes of the contract.
        valid: String,
    },
    /// A graceful shutdown could not finish all requests in flight.
    #[display(
        "a drain of {} is shorter than the deadline {} of class `{class}`; valid: from that deadline on",
        format_time(*drain),
        format_time(*deadline)
    )]
    DrainBelowDeadline {
        /// The longest graceful shutdown.
        drain: Millis,
        /// The deadline that is longer.
        deadline: Millis,
        /// The class that has the deadline.
        class: String,
    },
}
