//! The HTTP server and the connection pool by themselves.

use http::{Request, Response};
use http_body_util::Full;
use oleander_rollout::http::destination::Destination;
use oleander_rollout::http::pool::Pool;
use oleander_rollout::http::reuse::Reuse;
use oleander_rollout::http::send_error::SendError;
use oleander_rollout::http::server::{bind, serve};
use oleander_rollout::http::server_limits::ServerLimits;
use oleander_rollout::http::shutdown::Shutdown;
use oleander_rollout::prelude::*;
use oleander_rollout::runtime;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

const LIMITS: ServerLimits = ServerLimits {
    head_bytes: 16 << 10,
    idle: Millis(5000),
    bounded: false,
};
const CONNECT_TIMEOUT: Millis = Millis(1000);

/// Starts a server that panics at the path `/panic`; returns its address and a count of requests.
fn start() -> (SocketAddr, Rc<Cell<usize>>) {
    start_until(Rc::default())
}

/// Starts such a server, which ends when `shutdown` is requested.
fn start_until(shutdown: Rc<Shutdown>) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let requests = Rc::new(Cell::new(0));
    let counted = Rc::clone(&requests);
    let handler = Rc::new(move |req: Request<hyper::body::Incoming>| {
        counted.set(counted.get() + 1);
        let panics = req.uri().path() == "/panic";
        async move {
            assert!(!panics, "a handler that panics");
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"sound"))))
        }
    });
    spawn(serve(listener, || LIMITS, shutdown, handler));
    (addr, requests)
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let req = Request::builder().uri(path).header("host", "x");
    req.body(Full::default()).expect("a request")
}

#[test]
fn a_handler_that_panics_ends_only_its_own_connection() {
    runtime::run(async {
        let (addr, _) = start();
        let pool = Pool::new(CONNECT_TIMEOUT);
        let to = Destination::any(addr);
        for _ in 0..3 {
            let broken = pool.send(&to, request("/panic")).await;
            assert!(
                matches!(broken, Err(SendError::NoAnswer { .. })),
                "{broken:?}"
            );
            let exchange = pool.send(&to, request("/")).await.expect("an answer");
            let (_, body) = exchange.collect(100).await.expect("a body");
            assert_eq!(body.as_ref(), b"sound");
        }
    });
}

#[test]
fn what_may_be_sent_is_decided_when_the_connection_is_open() {
    runtime::run(async {
        let (addr, requests) = start();
        let pool = Pool::new(CONNECT_TIMEOUT);
        let to = Destination::any(addr);
        let withheld = || Err(SendError::Withheld { reason: "leaving" });
        for _ in 0..2 {
            let sent = pool.send_built(&to, Reuse::Any, withheld).await;
            assert!(matches!(sent, Err(SendError::Withheld { .. })), "{sent:?}");
            let exchange = pool.send(&to, request("/")).await.expect("an answer");
            exchange.collect(100).await.expect("a body");
        }
        assert_eq!(requests.get(), 2);
    });
}

#[test]
fn a_connection_that_is_to_be_closed_is_not_used_again() {
    runtime::run(async {
        let (addr, _) = start();
        let pool = Pool::new(CONNECT_TIMEOUT);
        let to = Destination::any(addr);
        let exchange = pool.send(&to, request("/")).await.expect("an answer");
        exchange.collect(100).await.expect("a body");
        assert_eq!(pool.idle_connections(&to), 1);
        pool.close_idle(&to);
        assert_eq!(pool.idle_connections(&to), 0);
        let mut exchange = pool.send(&to, request("/")).await.expect("an answer");
        exchange.close_after_body();
        exchange.collect(100).await.expect("a body");
        assert_eq!(pool.idle_connections(&to), 0);
    });
}

// Guards against a pool that grows with each instance that was ever called.
#[test]
fn connections_to_instances_that_are_called_no_more_are_closed() {
    const INSTANCES: usize = 100;
    runtime::run(async {
        let (addr, _) = start();
        let pool = Pool::new(CONNECT_TIMEOUT);
        let call = async |instance: String| {
            let to = Destination { addr, instance };
            let exchange = pool.send(&to, request("/")).await.expect("an answer");
            exchange.collect(100).await.expect("a body");
        };
        for n in 0..INSTANCES {
            call(format!("gone-{n}")).await;
        }
        assert_eq!(pool.destinations(), INSTANCES);
        let mut waited = Millis::ZERO;
        while pool.destinations() > 1 {
            assert!(waited < Millis(20_000), "{} left", pool.destinations());
            sleep(Millis(500)).await;
            waited = waited.plus(Millis(500));
            call("in-use".to_owned()).await;
        }
    });
}

/// Sends a request after `delay` and returns what the server answers until it closes.
fn answer_after(delay: Duration, mut stream: TcpStream) -> std::io::Result<String> {
    thread::sleep(delay);
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

// Guards against a process that ends while connections wait to be accepted: it was paused when they
// came, found none open when it went on, and left their requests without an answer.
#[test]
fn connections_that_wait_to_be_accepted_are_served_before_a_shutdown_is_over() {
    for delay in [0, 100, 300, 600].map(Duration::from_millis) {
        runtime::run(async {
            let shutdown = Rc::new(Shutdown::default());
            let (addr, requests) = start_until(Rc::clone(&shutdown));
            sleep(Millis(20)).await;
            // Without an await in between, the server doesn't run until the shutdown is requested.
            let connect = |_| TcpStream::connect(addr).expect("a connection");
            let streams: Vec<TcpStream> = (0..8).map(connect).collect();
            let ask = |stream| thread::spawn(move || answer_after(delay, stream));
            let clients: Vec<_> = streams.into_iter().map(ask).collect();
            shutdown.request();
            while !shutdown.is_over() {
                sleep(Millis(5)).await;
            }
            assert_eq!(requests.get(), 8, "requests {delay:?} after the shutdown");
            for client in clients {
                let text = client.join().expect("a client").expect("an answer");
                assert!(text.starts_with("HTTP/1.1 200 "), "{text:?}");
            }
            assert!(TcpStream::connect(addr).is_err());
        });
    }
}
