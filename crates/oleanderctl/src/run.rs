//! Runs a command.

use crate::cli::Args;
use crate::command::Command;
use crate::contract_command::ContractCommand;
use crate::contract_commands::{apply, check, diff, get, history};
use crate::ctl_error::CtlError;
use crate::entry_client::EntryClient;
use crate::exit_code::ExitCode;
use crate::fleet_commands::{explain, fleet, steps};
use crate::wait_command::wait;
use serde_json::json;

/// Runs a command; prints its result to standard output or its error to standard error.
pub fn run(args: &Args) -> ExitCode {
    match try_run(args) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            let code = error.code();
            if args.json {
                let body =
                    json!({ "error": { "code": code.to_string(), "message": error.to_string() } });
                eprintln!("{body}");
            } else {
                eprintln!("{}{error}", prefix(&error));
            }
            code
        }
    }
}

/// Errors of contract files start with file and line, so that editors can jump there.
fn prefix(error: &CtlError) -> &'static str {
    match error {
        CtlError::Contract { .. } => "",
        _ => "oleanderctl: ",
    }
}

fn try_run(args: &Args) -> Result<(), CtlError> {
    let client = EntryClient::new(args);
    match &args.command {
        Command::Contract(command) => run_contract(args, &client, command),
        Command::Fleet => fleet(&client, args.json),
        Command::Steps => steps(&client, args.json),
        Command::Explain { request } => explain(&client, args.json, request),
    }
}

fn run_contract(
    args: &Args,
    client: &EntryClient,
    command: &ContractCommand,
) -> Result<(), CtlError> {
    let as_json = args.json;
    match command {
        ContractCommand::Check { file } => check(as_json, file),
        ContractCommand::Apply { base, file } => apply(client, as_json, file, *base),
        ContractCommand::Get { customer } => get(client, as_json, customer),
        ContractCommand::Diff { file } => diff(client, as_json, file),
        ContractCommand::History { customer } => history(client, as_json, customer),
        ContractCommand::Wait {
            generation,
            timeout,
            customer,
        } => wait(client, as_json, customer, *generation, *timeout),
    }
}
