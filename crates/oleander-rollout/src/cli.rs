//! Arguments of the program.

use bpaf::Bpaf;
use oleander_platform::SETTINGS_VARIABLE;
use std::path::PathBuf;

/// What the process does in the deployment.
#[derive(Bpaf, Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Takes the requests of callers and trainers
    #[bpaf(command)]
    Entry,
    /// Stands beside an engine, runs items on it and gives it orders
    #[bpaf(command)]
    Agent,
    /// Hands the items of batch jobs to agents and lists their results
    #[bpaf(command)]
    Dispatcher,
}

/// Arguments of the program.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Rollout service for reinforcement learning on the prepared platform
pub struct Args {
    /// Read the settings from FILE
    #[bpaf(argument("FILE"), env(SETTINGS_VARIABLE))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
    /// What the process does
    #[bpaf(external(role))]
    pub role: Role,
}
