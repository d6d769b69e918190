//! Batch jobs of trainers: which groups run where, in which order results are listed, who
//! dispatches, and when engines load new weights.

pub mod agent_state;
pub mod checkpoint;
pub mod checkpoint_log;
pub mod item_key;
pub mod item_state;
pub mod job;
pub mod job_state;
pub mod job_terms;
pub mod leadership;
pub mod model_sets;
pub mod progress;
pub mod result_chunk;
pub mod result_log;
pub mod run_part;
pub mod sample;
pub mod scheduler;
pub mod scheduler_assign;
pub mod scheduler_config;
pub mod scheduler_loads;
pub mod scheduler_recall;
