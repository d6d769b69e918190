//! HTTP/1.1: a server for callers and peers, and connections to endpoints, the store and peers.

pub mod exchange;
pub mod hop_headers;
pub mod pool;
pub mod response;
pub mod send_error;
pub mod server;
pub mod socket;
