//! Options of TCP connections.

use crate::prelude::*;
use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without traffic after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection with unacknowledged data is closed.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2500);

/// Send buffer of a connection whose waiting bytes are bounded; the kernel would let it grow to
/// megabytes, which the machine's memory has to hold as well.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Opens a connection with the options of [`set_options`].
///
/// # Errors
///
/// The error of the operating system, or `TimedOut` after `limit`.
pub async fn connect(addr: SocketAddr, limit: Millis) -> std::io::Result<TcpStream> {
    let connected = within(limit, TcpStream::connect(addr)).await;
    let stream = connected.ok_or(std::io::ErrorKind::TimedOut)??;
    set_options(&stream);
    Ok(stream)
}

/// Whether nothing listens at `addr`, as after a crash; false if that is not known within `limit`.
pub async fn refuses_connections(addr: SocketAddr, limit: Millis) -> bool {
    let refused = |error: &std::io::Error| {
        matches!(
            error.kind(),
            std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::ConnectionReset
        )
    };
    let connected = within(limit, TcpStream::connect(addr)).await;
    connected.is_some_and(|connected| connected.as_ref().is_err_and(refused))
}

/// Sets the options that detect a dead peer, and turns off Nagle's algorithm. The first
/// option that can't be set is logged.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        ("can't set TCP_NODELAY", stream.set_nodelay(true)),
        (
            "can't set TCP keepalive",
            socket.set_tcp_keepalive(&keepalive),
        ),
        (
            "can't set TCP_USER_TIMEOUT",
            socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX)),
        ),
    ];
    let mut errors = results
        .into_iter()
        .filter_map(|(failure, result)| Some(format!("{failure}: {}", result.err()?)));
    if let Some(error) = errors.next() {
        event(log::Level::Warn, "socket-option", || {
            format!("reason=\"{error}\"")
        });
    }
}

/// Keeps the kernel from buffering much of what waits for the remote side.
pub fn bound_send_buffer(stream: &TcpStream) {
    let result = SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    if let Err(error) = result {
        event(log::Level::Warn, "socket-option", || {
            format!("reason=\"can't set SO_SNDBUF: {error}\"")
        });
    }
}
