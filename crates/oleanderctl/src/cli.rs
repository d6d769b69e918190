//! Arguments of `oleanderctl`.

use crate::command::{Command, command};
use bpaf::Bpaf;

/// Checks and changes contracts, and shows the state of the fleet
///
///
///
/// Exit codes: 0 done, 1 failed or invalid arguments, 3 the contract is invalid, 4 another change
/// was accepted first, 5 not in force in time, 6 the entry did not answer
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Args {
    /// URL of the entry to call
    #[bpaf(
        argument("URL"),
        env("OLEANDER_ENTRY"),
        fallback("http://127.0.0.1:7080".to_owned()),
        display_fallback
    )]
    pub entry: String,
    /// Operator token, if the entry requires one
    #[bpaf(argument("TOKEN"), env("OLEANDER_TOKEN"), optional)]
    pub token: Option<String>,
    /// Print JSON instead of text, errors included
    pub json: bool,
    #[allow(missing_docs)]
    #[bpaf(external)]
    pub command: Command,
}
