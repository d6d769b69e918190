//! Exit codes.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
        // 2 is left for wrong arguments.
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
