//! What every program of oleanderlock needs: settings, logs, clock, signals and exit codes.

pub mod boot_clock;
pub mod exit_code;
pub mod logging;
pub mod monotonic;
pub mod settings;
pub mod stop_signal;
