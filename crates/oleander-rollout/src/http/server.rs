//! An HTTP/1.1 server.

use super::paced_stream::PacedStream;
use super::server_limits::ServerLimits;
use super::shutdown::{Shutdown, ShutdownGuard};
use super::socket::{bound_send_buffer, set_options};
use crate::prelude::*;
use futures_util::FutureExt as _;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use oleanderlock::pressure::reader_pace::ReaderPace;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;

/// Smallest buffer for a request head that hyper accepts, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8192;
/// Pause after accepting a connection failed, for example because file descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Time that a new connection has for its first request when the server shuts down.
const FIRST_REQUEST_WAIT: Millis = Millis(1000);

/// Listens on an address.
///
/// # Errors
///
/// The error of the operating system together with the address, for example when it is in use.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(addr).map_err(|error| {
        let text = format!("can't listen on {addr}: {error}");
        std::io::Error::new(error.kind(), text)
    })?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves connections until `shutdown` is requested. A handler that returns an error closes its
/// connection without a response. `limits` is read for each new connection.
///
/// Connections that wait to be accepted when the shutdown is requested are served as well.
pub async fn serve<H, F, B, E>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    shutdown: Rc<Shutdown>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let accepting = shutdown.guard();
    loop {
        let requested = accepting.requested();
        // Polls the listener first, which has no more connections when the shutdown is seen.
        let accepted = match select(pin!(listener.accept()), pin!(requested)).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                set_options(&stream);
                let limits = limits();
                if limits.bounded {
                    bound_send_buffer(&stream);
                }
                let handler = Rc::clone(&handler);
                spawn(connection(stream, limits, shutdown.guard(), handler));
            }
            Err(error) => {
                event(log::Level::Warn, "accept-failed", || {
                    format!("reason=\"{error}\"")
                });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H, F, B, E>(
    stream: TcpStream,
    limits: ServerLimits,
    shutdown: ShutdownGuard,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let opened_at = now();
    let has_request = Rc::new(Cell::new(false));
    let received = Rc::clone(&has_request);
    let service = service_fn(move |req| {
        received.set(true);
        handler(req)
    });
    let pace = limits.bounded.then(ReaderPace::default);
    let stream = PacedStream::new(stream, pace);
    let connection = Builder::new()
        .timer(SmolTimer::new())
        // Bodies are written from where they are: a connection would keep a copy as large as its largest.
        .writev(true)
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .header_read_timeout(std::time::Duration::from(limits.idle))
        .serve_connection(FuturesIo::new(stream), service);
    let stop = async {
        shutdown.requested().await;
        // The client may have connected just now and be about to send its request.
        let wait = FIRST_REQUEST_WAIT.since(now().since(opened_at));
        if !has_request.get() {
            sleep(wait).await;
        }
    };
    let served = async {
        let mut connection = pin!(connection);
        match select(connection.as_mut(), pin!(stop.fuse())).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let ended = AssertUnwindSafe(served).catch_unwind().await;
    match ended {
        Ok(Ok(())) => {}
        Ok(Err(error)) => event(log::Level::Debug, "connection-ended", || {
            format!("reason=\"{error}\"")
        }),
        // The message and place of the panic are on standard error.
        Err(_) => event(log::Level::Error, "handler-panicked", String::new),
    }
}
