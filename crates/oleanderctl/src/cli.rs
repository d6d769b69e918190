//! Arguments.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Arguments of `oleanderctl`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Writes, checks, amends and follows contracts, and tells how the fleet is
pub struct Args {
    /// Ask the entry at this URL; the environment variable OLEANDER_ENTRY names one too
    #[bpaf(argument("URL"), env("OLEANDER_ENTRY"), fallback("http://127.0.0.1:7080".to_owned()))]
    pub entry: String,
    /// Show this token; the environment variable OLEANDER_TOKEN names one too
    #[bpaf(argument("TOKEN"), env("OLEANDER_TOKEN"), optional)]
    pub token: Option<String>,
    /// Print JSON instead of text
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// The commands.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Write, check, amend and follow contracts
    #[bpaf(command)]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Show the instances that the entry uses
    #[bpaf(command)]
    Fleet,
    /// Show the steps that the entry owns
    #[bpaf(command)]
    Steps,
    /// Tell why a request was refused
    #[bpaf(command)]
    Explain {
        /// The request, as named in the answer or in a log
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

/// The commands for contracts.
#[derive(Bpaf, Clone, Debug)]
pub enum ContractCommand {
    /// Check a contract file and name every fault with its line
    #[bpaf(command)]
    Check {
        /// The contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a contract in force, or amend the one that is
    #[bpaf(command)]
    Apply {
        /// Amend only if this generation stands; the one that stands now by default
        #[bpaf(argument("GENERATION"), optional)]
        base: Option<u64>,
        /// The contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the contract of a customer
    #[bpaf(command)]
    Get {
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Show what a contract file would change
    #[bpaf(command)]
    Diff {
        /// The contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show earlier generations of a contract
    #[bpaf(command)]
    History {
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Wait until a contract is in force everywhere, and name those that it waits for
    #[bpaf(command)]
    Wait {
        /// Wait for this generation or a later one; the one that stands now by default
        #[bpaf(argument("GENERATION"), optional)]
        generation: Option<u64>,
        /// Give up after this many seconds
        #[bpaf(argument("SECONDS"), fallback(30))]
        timeout: u64,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
}
