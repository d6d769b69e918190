//! HTTP/1.1: a server for callers and peers, and a connection pool for requests to endpoints, the
//! store and peers.

pub mod blocks;
mod body_budget;
mod carried_ids;
pub mod destination;
pub mod exchange;
mod fair_stream;
pub mod hop_headers;
mod paced_stream;
pub mod pool;
mod pooled_connection;
pub mod response;
pub mod reuse;
pub mod room;
pub mod send_error;
pub mod server;
pub mod server_limits;
pub mod shutdown;
pub mod socket;
