//! Operator command line of oleanderlock.

use oleanderctl::cli::args;
use oleanderctl::run;

fn main() -> std::process::ExitCode {
    run::run(&args().run()).into()
}
