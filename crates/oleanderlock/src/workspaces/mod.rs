//! Workspaces of the deployment's configuration and the keys by which their clients are known.

pub mod fair_queue;
pub mod job_access;
pub mod key_conflict;
pub mod key_decision;
pub mod key_digest;
pub mod key_holder;
pub mod key_policy;
pub mod key_table;
pub mod key_usage;
pub mod key_use;
pub mod service_gate;
pub mod workspace;
