//! The list of dispatchers in the platform's store.

pub mod registration;
pub mod sweep;
