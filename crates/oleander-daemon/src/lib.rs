//! Daemons of the oleanderlock rollout service.
//!
//! Each daemon is a function that takes a checked configuration and returns a running handle;
//! the programs only parse their arguments, open, and wait for the stop signal.

pub mod agent;
pub mod contracts;
pub mod entry;
pub mod http;
pub mod prelude;
pub mod process;
pub mod steps;
pub mod store;

pub use oleander_base::{exit_code, logging, monotonic, settings, settings_errors, stop_signal};
