//! Program of the entries, agents and dispatchers on the prepared platform, and of the check of a
//! configuration.

use oleander_rollout::cli::{CONFIG_COMMAND, args, config_commands};
use oleander_rollout::config_check;
use oleander_rollout::process::run;

fn main() -> std::process::ExitCode {
    let is_about_config = std::env::args_os()
        .nth(1)
        .is_some_and(|first| first == CONFIG_COMMAND);
    if is_about_config {
        return config_check::run::run(&config_commands().run()).into();
    }
    run(&args().run()).into()
}
