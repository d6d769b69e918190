//! Logs and metrics.

pub mod event_log;
pub mod log_sink;
pub mod memory_watch;
pub mod metrics;
pub mod metrics_server;
