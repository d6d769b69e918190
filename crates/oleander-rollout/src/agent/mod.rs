//! The agent: stands beside an engine, runs items on it and gives it orders.

pub mod agent_process;
pub mod engine_client;
mod engine_watch;
mod hand_in;
mod load;
mod pull;
pub mod run;
mod runner;
mod score;
mod state;
