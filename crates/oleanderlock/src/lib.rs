//! Coordination parts of the oleanderlock rollout service.
//!
//! Every part is a plain struct that takes the current time and an event and returns typed
//! actions. Nothing here performs I/O, starts threads or reads a clock, so the daemons, the model
//! checker, the differential tests and the load tool run the same code.

pub mod admission;
pub mod admission_config;
pub mod admission_queue;
pub mod affinity_score;
pub mod answer;
pub mod attempt_budget;
pub mod attempt_end;
pub mod cancel_rule;
pub mod choice_request;
pub mod class_terms;
pub mod clock;
pub mod contract;
pub mod ejection;
pub mod endpoint;
mod endpoint_arena;
pub mod endpoint_choice;
pub mod error_kind;
pub mod hedge;
pub mod keys;
pub mod limits;
pub mod load;
pub mod outlier;
pub mod policy;
pub mod prelude;
pub mod quantiles;
pub mod ran;
pub mod retry_budget;
pub mod service_terms;
pub mod service_time;
pub mod service_times;
pub mod shares;
pub mod slots;
pub mod subset;
pub mod weigh;
pub mod work;
pub mod work_kind;
