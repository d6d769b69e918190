//! A server of HTTP/1.1.

use super::socket::set_options;
use crate::prelude::*;
use event_listener::{Event, listener};
use futures_util::FutureExt as _;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

/// Smallest buffer that the library takes for a request head, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8192;
/// Pause after a connection could not be accepted, as when descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Bounds on the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Greatest request head, in bytes.
    pub head_bytes: usize,
    /// Longest time without a request on a connection.
    pub idle: Millis,
}

/// Stops a server gracefully.
#[derive(Debug, Default)]
pub struct Closing {
    closed: Cell<bool>,
    event: Event,
    open: Cell<usize>,
}

impl Closing {
    /// Lets the requests in flight end, closes idle connections and accepts no more.
    pub fn close(&self) {
        self.closed.set(true);
        self.event.notify(usize::MAX);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    async fn closed(&self) {
        while !self.closed.get() {
            listener!(self.event => closed);
            if self.closed.get() {
                break;
            }
            closed.await;
        }
    }
}

/// Binds an address.
///
/// # Errors
///
/// The system's fault.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves connections until `closing` is closed. A handler that returns an error ends its
/// connection without an answer.
pub async fn serve<H, F, B, E>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    closing: Rc<Closing>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    loop {
        let stopped = closing.closed();
        let accepted = match select(pin!(listener.accept()), pin!(stopped)).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                set_options(&stream);
                let closing = Rc::clone(&closing);
                let handler = Rc::clone(&handler);
                spawn(connection(stream, limits(), closing, handler));
            }
            Err(fault) => {
                event(log::Level::Warn, "accept-failed", || {
                    format!("reason=\"{fault}\"")
                });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H, F, B, E>(
    stream: TcpStream,
    limits: ServerLimits,
    closing: Rc<Closing>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    closing.open.set(closing.open.get() + 1);
    let service = service_fn(move |req| handler(req));
    let connection = Builder::new()
        .timer(SmolTimer::new())
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .header_read_timeout(std::time::Duration::from(limits.idle))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let closed = closing.closed().fuse();
    let ended = match select(connection.as_mut(), pin!(closed)).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    closing.open.set(closing.open.get() - 1);
    if let Err(fault) = ended {
        event(log::Level::Debug, "connection-ended", || {
            format!("reason=\"{fault}\"")
        });
    }
}
