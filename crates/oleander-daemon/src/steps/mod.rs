//! Training steps: opened by trainers, run by one entry, pulled from any.

pub mod group_spec;
pub(crate) mod pull_call;
pub mod sample_spec;
pub(crate) mod step_event;
pub(crate) mod step_handle;
pub mod step_host;
pub(crate) mod step_location;
pub mod step_name;
pub mod step_record;
pub mod step_spec;
pub(crate) mod step_start;
pub(crate) mod step_task;
pub(crate) mod trainer_api;
