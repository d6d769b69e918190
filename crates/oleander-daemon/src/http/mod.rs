//! HTTP as callers see it: who may, what is wrong, streams.

pub(crate) mod access;
pub mod http_fault;
pub(crate) mod http_input;
pub(crate) mod in_flight;
pub mod sse;
