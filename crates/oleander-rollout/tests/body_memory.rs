//! Memory of bodies that are read as a whole, many at the same time.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleander_rollout::http::destination::Destination;
use oleander_rollout::http::pool::Pool;
use oleander_rollout::prelude::*;
use oleander_rollout::runtime;
use smol::Async;
use smol::io::{AsyncReadExt as _, AsyncWriteExt as _};
use std::cell::Cell;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

const CONNECT_TIMEOUT: Millis = Millis(1000);
const BODY: &[u8] = &[b'x'; BODY_BYTES];
const BODY_BYTES: usize = 1 << 20;
/// Bodies that are read at the same time.
const BODIES: usize = 400;
/// Bytes of each that arrive before it stops without its end.
const UNFINISHED_BYTES: usize = 250 << 10;
/// Memory that all unfinished bodies and their connections may use together, in bytes.
const UNFINISHED_MAX_BYTES: usize = 64 << 20;
/// Bytes of an ordinary body.
const ORDINARY_BYTES: usize = 4 << 10;
/// Time to read what has been sent.
const READ_TIME: Millis = Millis(500);

/// Starts a server that stops within each body, except in response to `/whole`; counts what it sent.
fn start(sent: Rc<Cell<usize>>) -> SocketAddr {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let listener = TcpListener::bind(any).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let listener = Async::new(listener).expect("a listener");
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sent = Rc::clone(&sent);
            spawn(async move {
                // An error means that the caller has closed the connection.
                let _ = respond(stream, &sent).await;
            });
        }
    });
    addr
}

async fn respond(mut stream: Async<TcpStream>, sent: &Cell<usize>) -> std::io::Result<()> {
    let mut head = [0; 512];
    let _ = stream.read(&mut head).await?;
    let (bytes, length) = match head.starts_with(b"POST /whole") {
        true => (ORDINARY_BYTES, ORDINARY_BYTES),
        false => (UNFINISHED_BYTES, BODY_BYTES),
    };
    let start = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(start.as_bytes()).await?;
    let written = stream.write_all(&BODY[..bytes]).await;
    sent.set(sent.get() + 1);
    written?;
    let _ = stream.read(&mut head).await?;
    Ok(())
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

fn request(path: &str) -> Request<Full<Bytes>> {
    let req = Request::post(path).header("host", "x");
    req.body(Full::new(Bytes::new())).expect("a request")
}

// Guards against a process that runs out of memory: some hundred endpoints each sent as much of a body
// as is read of any, and no more.
#[test]
fn many_unfinished_bodies_share_a_bound_and_leave_room_for_others() {
    runtime::run(async {
        let sent = Rc::<Cell<usize>>::default();
        let to = Destination::any(start(Rc::clone(&sent)));
        let pool = Pool::new(CONNECT_TIMEOUT);
        let returned = Rc::<Cell<usize>>::default();
        let before = memory();
        for _ in 0..BODIES {
            let exchange = pool.send(&to, request("/")).await.expect("a head");
            let returned = Rc::clone(&returned);
            spawn(async move {
                let whole = exchange.collect(BODY_BYTES).await.is_ok();
                returned.set(returned.get() + usize::from(whole));
            });
        }
        while sent.get() < BODIES {
            sleep(Millis(20)).await;
        }
        sleep(READ_TIME).await;
        let grown = memory().saturating_sub(before);
        assert!(grown < UNFINISHED_MAX_BYTES, "{} MB", grown >> 20);
        assert_eq!(returned.get(), 0, "bodies without their end were returned");
        let whole = pool.send(&to, request("/whole")).await.expect("a head");
        let (_, body) = whole.collect(BODY_BYTES).await.expect("a body");
        assert_eq!(body.len(), ORDINARY_BYTES);
    });
}
