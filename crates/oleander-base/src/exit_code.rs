//! Exit codes of the programs.

use std::process::ExitCode as Code;

/// Result of a program, which decides its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It stopped on request.
    Success,
    /// It failed to start or stopped because of an error.
    Failure,
    /// Its settings or arguments are invalid; exit status 2.
    Usage,
}

impl From<ExitCode> for Code {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::SUCCESS,
            ExitCode::Failure => Self::FAILURE,
            ExitCode::Usage => Self::from(2),
        }
    }
}
