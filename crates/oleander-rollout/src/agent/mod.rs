//! The agent: runs items of batch jobs on its engine and orders its weight loads.

pub mod agent_process;
pub mod engine_client;
mod engine_poll;
pub mod held_item;
pub mod job_checks;
mod load;
mod outcomes;
mod pull;
pub mod reported_progress;
mod run;
pub mod run_end;
mod runner;
mod score;
mod score_outcome;
pub mod score_window;
pub mod state;
mod token_memory;
