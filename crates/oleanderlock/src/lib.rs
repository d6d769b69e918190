//! Coordination parts of the oleanderlock rollout service.
//!
//! Every part is a plain struct that takes the current time and an event and returns typed
//! actions. Nothing here performs I/O, starts threads or reads a clock, so the daemons, the model
//! checker, the differential tests and the load tool run the same code.

pub mod answer;
pub mod class_terms;
pub mod clock;
pub mod config_journal;
pub mod contract;
mod contract_check;
pub mod contract_diff;
mod contract_draft;
pub mod contract_fault;
pub mod contract_file;
mod contract_section;
pub mod error_kind;
mod ini_lines;
mod journal_cursors;
pub mod journal_messages;
pub mod keys;
pub mod limits;
pub mod prelude;
pub mod ran;
pub mod rendezvous;
pub mod service_terms;
pub mod site;
pub mod units;
pub mod watcher_choice;
pub mod weigh;
pub mod work_kind;
