//! Daemons of the oleanderlock rollout service: the entry and the agent.
//!
//! Each daemon is a type that is opened with a checked configuration and runs on its own threads;
//! the programs only parse their arguments, open it, and wait for the stop signal.

pub mod agent;
pub mod contracts;
pub mod entry;
pub mod http;
pub mod prelude;
pub mod process;
pub mod steps;
pub mod store;

pub use oleander_base::{exit_code, logging, monotonic, settings, settings_errors, stop_signal};
