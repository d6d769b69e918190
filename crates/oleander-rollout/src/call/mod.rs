//! Calls to services: choice of the endpoint, retries and hedging.

mod attempt_message;
mod attempt_outcome;
pub mod call_outcome;
mod call_progress;
pub mod call_request;
pub mod caller;
pub mod caller_identity;
pub mod caller_role;
mod candidate_set;
pub mod crash_registry;
pub mod endpoint_loads;
pub mod endpoint_response;
pub mod event_stream;
pub mod in_flight_guard;
pub mod leaving_registry;
pub mod limit_registry;
pub mod limit_share;
mod logged_once;
pub mod not_run;
pub mod not_run_reason;
mod open_stream;
pub mod opened_stream;
mod read_response;
pub mod request_kind;
mod response_class;
pub mod stream_failure;
pub mod stream_limits;
