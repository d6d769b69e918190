//! The command `oleanderlock config check`, which checks a configuration before it is published.

pub mod against;
pub mod check_error;
pub mod check_report;
pub mod config_check_args;
pub mod report_format;
pub mod run;
