//! Why a command failed.

use crate::exit_code::ExitCode;
use derive_more::{Display, Error};
use oleanderlock::contract_error::ContractError;
use oleanderlock::prelude::*;

/// Why a command failed.
#[derive(Clone, Debug, Display, Error)]
pub enum CtlError {
    /// A file can't be read.
    #[display("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// Error text of the operating system or HTTP client.
        reason: String,
    },
    /// A contract file is invalid.
    #[display("{}", lines(file, errors))]
    Contract {
        /// The file.
        file: String,
        /// All errors of the file.
        errors: Vec<ContractError>,
    },
    /// The entry refused the call.
    #[display("{message} ({kind}){}", effect_hint(*ran))]
    Refused {
        /// Name of the error kind.
        kind: String,
        /// Message of the entry.
        message: String,
        /// Whether the call took effect.
        ran: Ran,
    },
    /// Another change was accepted first; nothing was written.
    #[display(
        "generation {generation} was accepted first; your file was not applied. \
         Against generation {generation} it would change:\n{changes}"
    )]
    Conflict {
        /// The current generation.
        generation: u64,
        /// What the file would change in the current contract, one change a line.
        changes: String,
    },
    /// Some instances do not have the contract in force.
    #[display("not in force after {seconds} s; waiting for: {waiting}")]
    NotInForce {
        /// The time waited, in seconds.
        seconds: u64,
        /// Names of the instances that lack it, separated by commas.
        waiting: String,
    },
    /// The entry did not answer.
    #[display("{entry} does not answer: {reason}")]
    Unreachable {
        /// The entry's URL.
        entry: String,
        /// Error text of the operating system or HTTP client.
        reason: String,
    },
    /// The entry's response can't be parsed.
    #[display("the entry's answer can't be read: {reason}")]
    Nonsense {
        /// Error text of the parser.
        reason: String,
    },
}

impl CtlError {
    /// Returns the exit code of the program for this error.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Contract { .. } => ExitCode::InvalidContract,
            Self::Conflict { .. } => ExitCode::Conflict,
            Self::NotInForce { .. } => ExitCode::NotInForce,
            Self::Unreachable { .. } => ExitCode::Unreachable,
            Self::File { .. } | Self::Refused { .. } | Self::Nonsense { .. } => ExitCode::Failure,
        }
    }
}

/// Returns what an operator must know beyond the refusal: whether the call took effect.
fn effect_hint(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "",
        Ran::Yes => "; it took effect",
        Ran::Unknown => "; it may have taken effect: look at `contract get` before trying again",
    }
}

fn lines(file: &str, errors: &[ContractError]) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|error| format!("{file}: {error}"))
        .collect();
    lines.join("\n")
}
