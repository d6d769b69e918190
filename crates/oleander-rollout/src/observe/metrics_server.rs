//! The address at which metrics are read.

use super::metrics::Metrics;
use crate::http::response;
use crate::http::server::{bind, serve};
use crate::http::server_limits::ServerLimits;
use crate::http::shutdown::Shutdown;
use crate::prelude::*;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bounds on the connections that read metrics.
const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 8192,
    idle: Millis::from_secs(15),
};

/// Serves metrics on `addr` at any path.
///
/// # Errors
///
/// The system's fault when the address can't be bound.
pub fn open(addr: SocketAddr, metrics: Metrics) -> std::io::Result<()> {
    let listener = bind(addr)?;
    let handler = Rc::new(move |_| {
        let text = metrics.text();
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
