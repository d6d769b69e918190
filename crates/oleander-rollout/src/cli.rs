//! Command-line arguments.

use crate::role::{Role, role};
use bpaf::Bpaf;
use oleander_platform::SETTINGS_VARIABLE;
use std::path::PathBuf;

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
