//! Threads of a process: one for control state, a fixed number for traffic.

use crate::store::store_client::within;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;
use trillium_smol::async_global_executor::{self as executor, GlobalExecutorConfig};
use trillium_smol::async_net::TcpListener;

/// Time between two ticks of a control thread.
const TICK: Duration = Duration::from_millis(20);

/// Fixes the number of traffic threads; only the first call in a process counts.
pub fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    executor::init_with_config(config);
}

/// Runs a task on the traffic threads.
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    executor::spawn(task).detach();
}

/// Runs `handle` on a thread of its own for each event, and with `None` at each tick, until all
/// senders are gone or `handle` returns false.
///
/// # Errors
///
/// The system's fault when it can't start a thread.
pub fn spawn_control<T: Send + 'static>(
    events: Receiver<T>,
    mut handle: impl FnMut(Option<T>) -> bool + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let mut next_tick = std::time::Instant::now();
            loop {
                let wait = next_tick.saturating_duration_since(std::time::Instant::now());
                let event = match events.recv_timeout(wait) {
                    Ok(event) => Some(event),
                    Err(RecvTimeoutError::Timeout) => {
                        next_tick = std::time::Instant::now() + TICK;
                        None
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                };
                if !handle(event) {
                    return;
                }
            }
        })
}

/// Greatest request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Greatest request body that is read, in bytes.
pub const BODY_MAX_BYTES: u64 = 4 << 20;
/// Longest wait for connections to close, in milliseconds.
const CLOSE_LIMIT_MS: u64 = 2000;
/// Bytes of an answer that are held back to be written together, small enough that the first event
/// of a stream goes out at once.
const RESPONSE_BUFFER_BYTES: usize = 64;
/// Connections that are served at once.
const CONNECTIONS_MAX: usize = 8192;

/// Serves HTTP on the traffic threads until told to stop.
///
/// # Errors
///
/// The system's fault when the address can't be bound.
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
        .spawn(handler);
    Ok(HttpServer { handle })
}

/// A running HTTP server.
pub struct HttpServer {
    handle: ServerHandle,
}

impl HttpServer {
    /// Takes no more connections and waits until the answers in flight are written, but for
    /// [`CLOSE_LIMIT_MS`] at most.
    pub fn close(self) {
        smol::block_on(within(CLOSE_LIMIT_MS, self.handle.stop()));
    }
}

/// Time for frames in the send buffers to go out before a process ends.
const FLUSH: Duration = Duration::from_millis(300);

/// Waits until the frames that were sent have left the process.
///
/// The library closes a socket without sending what it has buffered, and does not tell how much
/// that is.
pub fn flush_links() {
    std::thread::sleep(FLUSH);
}
