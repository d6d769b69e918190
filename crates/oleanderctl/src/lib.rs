//! Operator command line of oleanderlock: writes, checks, amends and follows contracts, and tells
//! how the fleet is.

pub mod cli;
pub mod contract_commands;
pub mod ctl_error;
pub mod entry_client;
pub mod exit_code;
pub mod fleet_commands;
pub mod output;
pub mod run;
pub mod wait_command;
