//! Command-line arguments.

use bpaf::Bpaf;
use oleander_platform::SETTINGS_VARIABLE;
use std::path::PathBuf;

/// Role of the process in the deployment.
#[derive(Bpaf, Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Serve the requests of callers and trainers
    #[bpaf(command)]
    Entry,
    /// Run the items of batch jobs on an engine and order its weight loads
    #[bpaf(command)]
    Agent,
    /// Assign the items of batch jobs to agents and list their results
    #[bpaf(command)]
    Dispatcher,
}

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Rollout service for reinforcement learning on the prepared platform
pub struct Args {
    /// Read the settings from FILE
    #[bpaf(argument("FILE"), env(SETTINGS_VARIABLE))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
    /// Role of the process
    #[bpaf(external(role))]
    pub role: Role,
}
