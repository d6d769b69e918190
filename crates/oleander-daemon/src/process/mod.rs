//! What every daemon needs: arguments, settings, metrics, start and end.

pub mod cli;
pub(crate) mod hash64;
pub mod metrics;
pub mod node_settings;
pub mod open_fault;
pub mod program;
pub mod runtime;
