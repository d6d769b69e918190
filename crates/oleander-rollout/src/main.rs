//! Entries, agents and dispatchers of oleanderlock on the prepared platform.

use oleander_rollout::cli::args;
use oleander_rollout::process::run;

fn main() -> std::process::ExitCode {
    run(&args().run()).into()
}
