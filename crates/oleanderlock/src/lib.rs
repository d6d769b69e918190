//! Coordination parts of the oleanderlock rollout service.
//!
//! Every part is a plain struct that takes the current time and an event and returns typed
//! actions. Nothing here performs I/O, starts threads or reads a clock, so the daemons, the model
//! checker, the differential tests and the load tool run the same code.

pub mod answer;
pub mod assembly_error;
pub mod assembly_limits;
pub mod attribution;
pub mod class_terms;
pub mod clock;
pub mod contract;
pub mod cursor;
pub mod error_kind;

pub mod intake;
pub mod keys;
pub mod limits;
pub mod prelude;
pub mod pull;
pub mod ran;
pub mod sample_guards;
pub mod segment;
pub mod service_terms;
pub mod slot;
pub mod staleness;
pub mod step;
pub mod step_action;
mod step_delivery;
pub mod step_limits;
mod step_settlement;
pub mod step_shape;
pub mod step_terms;
pub mod straggler;
pub mod stream_assembly;
pub mod stream_chunk;
pub mod weigh;
pub mod whole_answer;
pub mod work_kind;
