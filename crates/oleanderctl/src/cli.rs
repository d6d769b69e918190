//! Arguments.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Writes, checks, amends and follows contracts, and shows the state of the fleet
///
///
///
/// Exit codes: 0 done, 1 failed or wrong arguments, 3 the contract has faults, 4 another amendment
/// was accepted first, 5 not in force in time, 6 no entry answered
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Args {
    /// Entry to ask
    #[bpaf(
        argument("URL"),
        env("OLEANDER_ENTRY"),
        fallback("http://127.0.0.1:7080".to_owned()),
        display_fallback
    )]
    pub entry: String,
    /// Operator token, if the entry demands one
    #[bpaf(argument("TOKEN"), env("OLEANDER_TOKEN"), optional)]
    pub token: Option<String>,
    /// Print JSON instead of text, errors included
    pub json: bool,
    #[allow(missing_docs)]
    #[bpaf(external)]
    pub command: Command,
}

/// The commands.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
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
        /// Id of the request, as named in the error's JSON or in a log
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

/// The commands for contracts.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
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
        /// Amend only if this generation stands; by default whichever stands now
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
        /// Generation to wait for, or a later one; by default the one that stands now
        #[bpaf(argument("GENERATION"), optional)]
        generation: Option<u64>,
        /// Give up after this many seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout: u64,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
}
