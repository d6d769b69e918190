//! Examples, records and what the records are compared with.

pub mod call_log;
pub mod examples;
pub mod processes;
pub mod record;
pub mod source_scan;
