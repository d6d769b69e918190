//! Duties: calls to the platform's API that one process at a time may make.
//!
//! The leading dispatcher holds them. Its predecessor may still be at work, so what keeps two holders
//! apart are the records of the duties in the store; see `docs/spec/duties.md`.

pub mod duties;
mod platform_api;
mod platform_api_outcome;
pub mod record_store;
mod scale_planner;
mod usage_task;
