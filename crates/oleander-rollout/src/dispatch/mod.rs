//! The dispatcher: hands items to agents and lists their results in the platform's store.
//!
//! One dispatcher leads; the others stand by. All state that lasts is in the store, so a new leader
//! reads it there, learns from the agents what runs, and goes on.

mod agents_api;
mod checkpoints;
mod commit;
pub mod dispatcher;
mod history;
mod http_api;
mod jobs;
mod jobs_api;
mod leading;
mod news;
mod outbox;
mod retire;
pub mod state;
mod ticks;
