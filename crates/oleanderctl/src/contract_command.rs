//! Commands of `oleanderctl contract`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// A command for contracts.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum ContractCommand {
    /// Check a contract file and print every error with its line
    #[bpaf(command)]
    Check {
        /// The contract file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a contract in force, or replace the current one
    #[bpaf(command)]
    Apply {
        /// Replace the contract only if this is its generation; the current one by default
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
    /// Show what a contract file would change in the current contract
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
    /// Wait until all instances have a contract in force; on timeout, name those that have not
    #[bpaf(command)]
    Wait {
        /// Generation to wait for; a later one will do; the current one by default
        #[bpaf(argument("GENERATION"), optional)]
        generation: Option<u64>,
        /// Timeout in seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout: u64,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
}
