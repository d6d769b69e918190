//! Memory of connections that have carried large bodies and are kept open.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use oleander_rollout::http::destination::Destination;
use oleander_rollout::http::pool::Pool;
use oleander_rollout::http::server::{bind, serve};
use oleander_rollout::http::server_limits::ServerLimits;
use oleander_rollout::prelude::*;
use oleander_rollout::runtime;
use std::convert::Infallible;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;

const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 16 << 10,
    idle: Millis(30_000),
    bounded: false,
};
const CONNECT_TIMEOUT: Millis = Millis(1000);
const CONNECTIONS: usize = 40;
const BODY: Bytes = Bytes::from_static(&[b'x'; BODY_BYTES]);
const BODY_BYTES: usize = 1 << 20;
/// Memory of one connection at both of its ends together, in bytes: a part of one body.
const CONNECTION_MAX_BYTES: usize = BODY_BYTES / 4;

/// Starts a server that reads large bodies and responds with large ones.
fn start() -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let handler = Rc::new(|req: Request<hyper::body::Incoming>| async move {
        let mut body = req.into_body();
        while let Some(frame) = body.frame().await {
            drop(frame);
        }
        Ok::<_, Infallible>(Response::new(Full::new(BODY)))
    });
    spawn(serve(listener, || LIMITS, Rc::default(), handler));
    addr
}

/// Returns the memory that this process uses, in bytes.
fn memory() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the status of this process");
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let value = value.expect("the memory in use");
    let kilobytes = value.trim().trim_end_matches(" kB").parse::<usize>();
    kilobytes.expect("a number") << 10
}

// Guards against connections that each keep a copy of the largest body that they have carried: a leader
// with some tens of readers of results passed the memory of its machine.
#[test]
fn connections_keep_no_copies_of_the_bodies_that_they_carried() {
    runtime::run(async {
        let to = Destination::any(start());
        let pool = Pool::new(CONNECT_TIMEOUT);
        let send = || {
            let req = Request::post("/").header("host", "x").body(Full::new(BODY));
            pool.send(&to, req.expect("a request"))
        };
        let before = memory();
        let mut exchanges = Vec::new();
        for _ in 0..CONNECTIONS {
            exchanges.push(send().await.expect("an answer"));
        }
        for exchange in exchanges {
            let (_, body) = exchange.collect(BODY_BYTES).await.expect("a body");
            assert_eq!(body.len(), BODY_BYTES);
        }
        let grown = memory().saturating_sub(before);
        let limit = CONNECTIONS * CONNECTION_MAX_BYTES;
        assert!(grown < limit, "{grown} bytes, {limit} allowed");
        assert_eq!(pool.idle_connections(&to), CONNECTIONS);
    });
}
