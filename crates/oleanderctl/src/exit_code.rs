//! Exit codes of `oleanderctl`.

use strum::Display;

/// Result of a command; its name is printed in JSON errors.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// Any other error, also invalid arguments.
    Failure,
    /// The contract is invalid; nothing has changed.
    InvalidContract,
    /// Another change was accepted first; nothing has changed.
    Conflict,
    /// Some instances did not have the contract in force before the timeout.
    NotInForce,
    /// The entry did not answer.
    Unreachable,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        // The argument parser exits with 1 on invalid arguments; 2 is not used.
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
