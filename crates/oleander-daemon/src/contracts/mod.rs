//! Contracts and published versions: in the store, in force, and in a snapshot on disk.

pub mod amend_outcome;
pub mod config_object;
pub mod config_state;
pub mod config_update;
pub mod config_write;
pub mod contracts_in_force;
pub mod current_object;
pub mod past_text;
pub mod published_version;
pub(crate) mod snapshot_file;
