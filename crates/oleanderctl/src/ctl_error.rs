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
        /// What the system says.
        reason: String,
    },
    /// A contract file has faults.
    #[display("{}", lines(file, faults))]
    Contract {
        /// The file.
        file: String,
        /// All faults.
        faults: Vec<ContractError>,
    },
    /// The entry refused the call.
    #[display("{message} ({kind}){}", doubt(*ran))]
    Refused {
        /// Name of the error kind.
        kind: String,
        /// The entry's sentence.
        message: String,
        /// Whether the call took effect.
        ran: Ran,
    },
    /// Another amendment was accepted first.
    #[display(
        "generation {generation} was accepted first; your file was not applied. \
         Against generation {generation} it would change:\n{changes}"
    )]
    Conflict {
        /// The generation that stands.
        generation: u64,
        /// What the file would change in what stands.
        changes: String,
    },
    /// The contract is not in force everywhere.
    #[display("not in force after {seconds} s; waiting for: {waiting}")]
    NotInForce {
        /// The time given.
        seconds: u64,
        /// Instances that lack it.
        waiting: String,
    },
    /// No entry answered.
    #[display("{entry} does not answer: {reason}")]
    Unreachable {
        /// The entry's URL.
        entry: String,
        /// What the system says.
        reason: String,
    },
    /// The answer makes no sense.
    #[display("the entry's answer can't be read: {reason}")]
    Nonsense {
        /// What is wrong.
        reason: String,
    },
}

impl CtlError {
    /// Returns the exit code.
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

/// Says what an operator can't know from a refusal.
fn doubt(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "",
        Ran::Yes => "; it took effect",
        Ran::Unknown => "; it may have taken effect: look at `contract get` before trying again",
    }
}

fn lines(file: &str, faults: &[ContractError]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{file}: {fault}"))
        .collect();
    lines.join("\n")
}
