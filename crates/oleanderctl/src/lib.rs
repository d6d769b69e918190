//! Operator command line of oleanderlock: checks and changes contracts, and shows the state of the
//! fleet.

pub mod cli;
pub mod command;
pub mod contract_command;
pub mod contract_commands;
pub mod ctl_error;
pub mod current_contract;
pub mod entry_client;
pub mod exit_code;
pub mod fleet_commands;
pub mod output;
pub mod reply;
pub mod run;
pub mod wait_command;
