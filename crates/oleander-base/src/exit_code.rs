//! Exit codes of the programs.

use std::process::ExitCode as Code;

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It stopped as it was told to.
    Success,
    /// It could not start or go on.
    Failure,
    /// Its settings or arguments are wrong.
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
