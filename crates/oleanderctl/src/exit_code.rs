//! Exit codes.

use strum::Display;

/// How a command ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ExitCode {
    /// It did what was asked.
    Success,
    /// Something else failed.
    Failure,
    /// The contract has faults; nothing has changed.
    InvalidContract,
    /// Another amendment was accepted first; nothing has changed.
    Conflict,
    /// The contract is not in force everywhere within the time given.
    NotInForce,
    /// No entry answered.
    Unreachable,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        // Wrong arguments end with 1, as the argument parser does; 2 stays free.
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::InvalidContract => 3,
            ExitCode::Conflict => 4,
            ExitCode::NotInForce => 5,
            ExitCode::Unreachable => 6,
        })
    }
}
