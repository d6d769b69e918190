//! The dispatcher: assigns items to agents and lists their results in the platform's store.
//!
//! One dispatcher leads; the others are standbys. All durable state is in the store: a new leader
//! reads it there and learns from the reports of agents which items run.
//!
//! An item is one request of a batch job; a run is one execution of an item on an engine. To list a
//! result is to append it to the result log in the store.

mod agents_api;
mod checkpoints;
mod cleanup;
mod commit;
mod config_api;
mod crash_sweep;
pub mod dispatcher;
mod election;
mod endpoint_summary;
mod history;
mod http_api;
mod job_terms;
mod jobs;
mod jobs_api;
mod leader_checks;
pub mod leadership_state;
mod newest_chunks;
mod outbox;
mod platform_updates;
mod retire;
pub mod state;
mod streams_api;
mod succession;
mod ticks;
