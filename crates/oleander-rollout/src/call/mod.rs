//! Calls to plain services: choice of the endpoint, attempts, and the whole answer.

pub mod call_request;
pub mod caller;
pub mod endpoint_answer;
pub mod loads;
