//! Arguments of the daemons.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of `oleander-entry`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Faces callers, trainers and operators: routes requests to agents and hands samples to trainers
pub struct EntryArgs {
    /// Read the settings from FILE instead of oleander-entry.ini
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oleander-entry.ini")))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}

/// Arguments of `oleander-agent`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Stands beside one endpoint and is the only way to it
pub struct AgentArgs {
    /// Read the settings from FILE instead of oleander-agent.ini
    #[bpaf(argument("FILE"), fallback(PathBuf::from("oleander-agent.ini")))]
    pub settings: PathBuf,
    /// Check the settings and exit
    pub check: bool,
}
