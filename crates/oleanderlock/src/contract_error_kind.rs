//! Kinds of errors of a contract file.
//!
//! A contract is what an operator grants to one customer: classes of work, services and limits.

use crate::prelude::*;
use crate::units::format_time;
use crate::value_error::ValueError;
use derive_more::{Display, Error};

/// What is wrong with a contract file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ContractErrorKind {
    /// The text is not valid INI.
    #[display("can't be read as INI: {reason}")]
    Syntax {
        /// Message of the INI parser.
        reason: String,
    },
    /// The text is longer than the limit.
    #[display("the file has {bytes} bytes; at most {max_bytes} are allowed")]
    TextTooLarge {
        /// Length of the text in bytes.
        bytes: usize,
        /// The limit in bytes.
        max_bytes: usize,
    },
    /// A key precedes the first section.
    #[display("the key is outside of a section; valid sections: {valid}")]
    OutsideSection {
        /// The sections that a contract has.
        valid: &'static str,
    },
    /// A contract has no section of this name.
    #[display("unknown section; valid sections: {valid}")]
    UnknownSection {
        /// The sections that a contract has.
        valid: &'static str,
    },
    /// A section occurs more than once.
    #[display("duplicate section; the first is in line {first_line}")]
    DuplicateSection {
        /// Line of the first occurrence.
        first_line: usize,
    },
    /// There are more classes, or more services, than the limit.
    #[display("too many sections of this kind; at most {max}")]
    TooManySections {
        /// The limit.
        max: usize,
    },
    /// A mandatory section is missing.
    #[display("the section is missing")]
    MissingSection,
    /// The section has no key of this name.
    #[display("unknown key; valid keys: {valid}")]
    UnknownKey {
        /// The valid keys of the section.
        valid: String,
    },
    /// A key occurs more than once in a section.
    #[display("duplicate key; the first is in line {first_line}")]
    DuplicateKey {
        /// Line of the first occurrence.
        first_line: usize,
    },
    /// A mandatory key is missing.
    #[display("the key is missing")]
    MissingKey,
    /// The value is malformed.
    #[display("`{value}` {reason}")]
    Value {
        /// The value as written in the file.
        value: String,
        /// Why it is malformed.
        reason: ValueError,
    },
    /// The shares of all classes sum up to more than 100%.
    #[display("the shares of all classes sum up to {sum_percent}%; at most 100%")]
    ShareSum {
        /// The sum in percent.
        sum_percent: u64,
    },
    /// The value is zero, a bound that no work can meet.
    #[display("must not be zero; the least valid value is {least}")]
    Zero {
        /// The least valid value, with its unit.
        least: &'static str,
    },
    /// The latency bound exceeds the deadline.
    #[display(
        "the latency bound {} exceeds the deadline {} of the class",
        format_time(*bound),
        format_time(*deadline)
    )]
    BoundAboveDeadline {
        /// The latency bound.
        bound: Millis,
        /// The deadline.
        deadline: Millis,
    },
    /// A class of kind samples has no staleness bound.
    #[display(
        "a class of kind samples needs a staleness bound, for example `staleness = 2 versions`"
    )]
    SamplesWithoutStaleness,
    /// A class of kind interactive has a staleness bound, though no trainer consumes its answers.
    #[display("a staleness bound is valid for kind samples only")]
    StalenessOfInteractive,
    /// The service refers to a class that the contract does not have.
    #[display("unknown class `{class}`; valid classes: {valid}")]
    UnknownClass {
        /// Name of the class.
        class: String,
        /// The interactive classes of the contract.
        valid: String,
    },
    /// The service refers to a class of kind samples.
    #[display(
        "class `{class}` is of kind samples, but a service needs an interactive class; valid classes: {valid}"
    )]
    ServiceOfSamples {
        /// Name of the class.
        class: String,
        /// The interactive classes of the contract.
        valid: String,
    },
    /// The drain is too short for a graceful shutdown to finish all requests in flight.
    #[display(
        "the deadline {} of class `{class}` exceeds the drain {} in [limits]",
        format_time(*deadline),
        format_time(*drain)
    )]
    DrainBelowDeadline {
        /// Longest duration of a graceful shutdown.
        drain: Millis,
        /// The deadline, which is longer.
        deadline: Millis,
        /// Name of the class with this deadline.
        class: String,
    },
}
