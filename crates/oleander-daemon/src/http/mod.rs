//! Parts of HTTP handling that several APIs share: access, input, errors and event streams.

pub(crate) mod access;
pub mod engine_event;
pub mod error_body;
pub mod error_detail;
pub mod event_reader;
pub mod http_error;
pub(crate) mod http_input;
pub(crate) mod in_flight_guard;
pub(crate) mod json_response;
pub mod response_head;
pub mod stream_error;
