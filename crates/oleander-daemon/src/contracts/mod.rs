//! Contracts: written, in force, kept on disk.

pub mod config_desk;
pub mod config_object;
pub mod config_write;
pub mod contracts_in_force;
pub(crate) mod snapshot_file;
