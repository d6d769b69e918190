//! Coordination parts of the oleanderlock rollout service.
//!
//! Every part is a plain struct that takes the current time and an event and returns typed
//! actions. Nothing here performs I/O, starts threads or reads a clock, so the daemons, the model
//! checker, the differential tests and the load tool run the same code.

pub mod agent_clock;
pub mod answer;
pub mod attempt_ledger;
pub mod bucket_home;
pub mod class_terms;
pub mod clock;
pub mod contract;
mod contract_check;
pub mod contract_diff;
pub mod contract_fault;
pub mod contract_file;
mod contract_section;
pub mod error_kind;
pub mod fence_gate;
pub mod guards;
mod ini_lines;
pub mod issued_key;
pub mod key_binder;
pub mod key_binding;
pub mod keys;
pub mod lease;
pub mod limits;
pub mod prelude;
pub mod ran;
pub mod request_outcome;
pub mod request_track;
pub mod service_terms;
pub mod store_answer;
pub mod store_write;
pub mod submission;
pub mod units;
pub mod weigh;
pub mod work_kind;
