//! Command-line arguments.

use crate::config_check::config_check_args::{ConfigCheckArgs, config_check_args};
use crate::role::{Role, role};
use bpaf::{Bpaf, OptionParser, Parser as _};
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

/// First argument of the commands about configurations, which need no settings.
pub const CONFIG_COMMAND: &str = "config";

/// Returns the parser of the commands about configurations.
pub fn config_commands() -> OptionParser<ConfigCheckArgs> {
    let check = config_check_args().to_options();
    let check = check.descr("Check a configuration before it is published");
    let config = check.command("check").to_options();
    config.command(CONFIG_COMMAND).to_options()
}
