//! The HTTP server of a process.

use crate::process::drain_body::DrainBody;
use crate::process::runtime::within;
use std::net::SocketAddr;
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net::TcpListener;

/// Maximum size of a request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Maximum size of a request body, in bytes.
pub const BODY_MAX_BYTES: u64 = 4 << 20;
/// Maximum time that closing waits for responses in flight, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 2000;
/// Size of the write buffer of a response, in bytes; smaller than the first event of a stream, so
/// that the event is sent at once.
const RESPONSE_BUFFER_BYTES: usize = 64;
/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 8192;

/// Serves HTTP on the traffic threads until [`HttpServer::close`].
///
/// # Errors
///
/// The system error when the address can't be bound.
pub fn serve(address: SocketAddr, handler: impl Handler) -> std::io::Result<HttpServer> {
    let listener = std::net::TcpListener::bind(address)?;
    let listener = TcpListener::try_from(listener)?;
    let limits = HttpConfig::default()
        .with_head_max_len(HEAD_MAX_BYTES)
        .with_response_buffer_len(RESPONSE_BUFFER_BYTES)
        .with_received_body_max_len(BODY_MAX_BYTES);
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(limits)
        .with_max_connections(Some(CONNECTIONS_MAX))
        .with_prebound_server(listener)
        .spawn((DrainBody, handler));
    Ok(HttpServer { handle })
}

/// A running HTTP server.
pub struct HttpServer {
    handle: ServerHandle,
}

impl HttpServer {
    /// Stops accepting connections and waits until the responses in flight are written, for at most
    /// [`CLOSE_TIMEOUT_MS`].
    pub fn close(self) {
        smol::block_on(within(CLOSE_TIMEOUT_MS, self.handle.stop()));
    }
}
