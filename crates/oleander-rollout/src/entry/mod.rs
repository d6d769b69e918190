//! The entry: accepts the requests of callers and trainers.

mod access;
pub mod body;
mod calls;
mod config_guard;
pub mod entry_process;
pub mod gates;
mod job_calls;
mod key_log;
mod key_refusal;
mod origin_registry;
mod platform_updates;
mod relay;
mod request_body;
mod request_head;
mod resumption;
pub mod rooms;
mod router;
pub mod stop_clock;
mod streams;
mod submit;
pub mod submit_outcome;
mod unread_body;
mod usage_reporter;
pub mod whole_body;
