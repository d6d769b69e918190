//! Messages between the processes of the system, as JSON over HTTP.

pub mod leader_client;
pub mod leader_error;
pub mod messages;
