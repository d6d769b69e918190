//! HTTP server of the metrics.

use super::metrics::Metrics;
use crate::http::response;
use crate::http::server::{bind, serve};
use crate::http::server_limits::ServerLimits;
use crate::http::shutdown::Shutdown;
use crate::prelude::*;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

/// Limits on the connections of the metrics server.
const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 8192,
    idle: Millis::from_secs(15),
    bounded: false,
};

/// Starts to serve metrics at `addr`, at any path.
///
/// # Errors
///
/// The error of the operating system when it can't listen on the address.
pub fn open(addr: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let listener = bind(addr)?;
    let handler = Rc::new(move |_| {
        let text = metrics.encode();
        async move { Ok::<_, Infallible>(response::bytes(text)) }
    });
    spawn(serve(
        listener,
        || LIMITS,
        Rc::new(Shutdown::default()),
        handler,
    ));
    Ok(())
}
