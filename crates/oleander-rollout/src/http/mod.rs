//! HTTP/1.1: a server for callers and peers, and connections to endpoints, the store and peers.

pub mod answer;
pub mod exchange;
pub mod hop_headers;
pub mod pool;
pub mod send_fault;
pub mod server;
pub mod socket;
