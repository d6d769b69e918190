//! What all daemons share: arguments, settings, metrics, threads, start and end.

pub mod agent_args;
pub mod drain_body;
pub mod entry_args;
pub(crate) mod hash64;
pub mod http_server;
pub mod metrics;
pub mod node_settings;
pub mod open_error;
pub mod program;
pub mod running_daemon;
pub mod runtime;
