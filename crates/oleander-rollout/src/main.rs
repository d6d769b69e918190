//! Program of the entries, agents and dispatchers on the prepared platform.

use oleander_rollout::cli::args;
use oleander_rollout::process::run;

fn main() -> std::process::ExitCode {
    run(&args().run()).into()
}
