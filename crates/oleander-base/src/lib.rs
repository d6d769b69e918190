//! Settings, logging, clocks, signals and exit codes shared by the programs of oleanderlock.

pub mod boot_clock;
pub mod exit_code;
pub mod logging;
pub mod monotonic;
pub mod settings;
pub mod settings_error;
pub mod settings_errors;
pub mod stop_signal;
