//! Batch jobs of trainers: scheduling of items on engines, weight loads, the log that orders
//! results, checkpoints of runs, and failover of the dispatcher.
//!
//! - A job holds the generation requests of one training step; each request is an item. A trainer
//!   waits for groups of items that share a prompt.
//! - A run is one execution of an item by an engine.
//! - An agent is the process next to an engine that runs items on it and reports to the dispatcher.
//! - The dispatcher schedules the jobs. Several run, and one of them leads.
//! - A result is listed once the result log orders it; trainers read listed results only.

pub mod agent_report;
pub mod agent_state;
pub mod assignment;
pub mod checkpoint;
pub mod checkpoint_log;
pub mod checkpoint_page;
pub mod engine_sets;
pub mod event_pace;
pub mod granted_load;
pub mod item_key;
pub mod item_phase;
pub mod item_state;
pub mod job;
pub mod job_item;
pub mod job_policy;
pub mod job_state;
pub mod json_text;
pub mod leader_probe;
pub mod leader_watch;
mod listed_result;
pub mod load_grant;
pub mod open_jobs;
pub mod progress;
pub mod pulse_verdict;
pub mod recall;
pub mod recall_reason;
pub mod report_outcome;
pub mod result_chunk;
pub mod result_log;
pub mod run_part;
pub mod runner;
pub mod sample;
pub mod sample_end;
pub mod scheduler;
pub mod scheduler_assign;
pub mod scheduler_blocked;
pub mod scheduler_config;
pub mod scheduler_loads;
pub mod scheduler_recall;
pub mod score_call;
pub mod set_engine;
pub mod unreached_leader;
