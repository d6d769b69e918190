//! Coordination parts of the oleanderlock rollout service.
//!
//! Every part is a plain struct that takes the current time and an event and returns typed
//! actions. Nothing here performs I/O, starts threads or reads a clock, so the daemons, the model
//! checker, the differential tests and the load tool run the same code.

pub mod admission;
pub mod admission_queue;
pub mod agent_clock;
pub mod answer;
pub mod attempt_ledger;
pub mod class_terms;
pub mod clock;
pub mod contract;
mod contract_check;
pub mod contract_diff;
mod contract_draft;
pub mod contract_fault;
pub mod contract_file;
mod contract_section;
pub mod error_kind;
pub mod guards;
mod ini_lines;
pub mod issued_key;
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
pub mod load;
pub mod policy;
pub mod prelude;
pub mod pull;
pub mod ran;
pub mod request_outcome;
pub mod request_track;
pub mod service_terms;
pub mod service_time;
pub mod shares;
pub mod submission;
pub mod units;
pub mod weigh;
pub mod work;
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
