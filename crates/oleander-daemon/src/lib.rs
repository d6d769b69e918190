//! Daemons of the oleanderlock rollout service.
//!
//! Each daemon is a function that takes a checked configuration and returns a running handle;
//! the programs only parse their arguments, open, and wait for the stop signal.

pub mod agent;
pub mod agent_control;
pub mod agent_cx;
pub mod agent_event;
mod agent_http;
pub mod agent_settings;
pub mod attempt;
pub mod config_state;
pub mod contracts_in_force;
pub mod engine_client;
pub mod http_fault;
pub mod instance_list;
pub mod logging;
pub mod metrics;
pub mod monotonic;
pub mod node_settings;
pub mod open_fault;
pub mod prelude;
pub mod runtime;
pub mod service_client;
pub mod settings;
pub mod sse;
pub mod store_client;
