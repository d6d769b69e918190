//! Steps of trainers and their pulls.

pub(crate) mod step_handle;
pub mod step_host;
pub mod step_spec;
pub(crate) mod step_task;
pub(crate) mod trainer_api;
