//! Commands of `oleanderctl`.

use crate::contract_command::{ContractCommand, contract_command};
use bpaf::Bpaf;

/// A command.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Check, change and show contracts
    #[bpaf(command)]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Show the agents that the entry uses, and the other entries
    #[bpaf(command)]
    Fleet,
    /// Show the training steps that the entry runs
    #[bpaf(command)]
    Steps,
    /// Explain why a request was refused
    #[bpaf(command)]
    Explain {
        /// Id of the request, from the JSON of the error or from a log
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}
