//! Calls to services: choice of the endpoint, retries and hedging.

pub mod call_request;
pub mod caller;
pub mod endpoint_loads;
pub mod endpoint_response;
pub mod in_flight_guard;
pub mod response_class;
