//! The processes of oleanderlock on the prepared platform.
//!
//! An entry takes callers' requests, an agent stands beside each engine, and dispatchers hand the
//! items of batch jobs to agents and list their results in the platform's store.

pub mod agent;
pub mod call;
pub mod cli;
pub mod dispatch;
pub mod entry;
pub mod http;
pub mod observe;
pub mod peer;
pub mod prelude;
pub mod process;
pub mod runtime;
pub mod settings;
pub mod store;
