//! Clients that read their responses slowly or not at all, at an entry with little memory.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::call;
use support::{HOST, wait_for};

/// Memory of the smallest machines.
const MEMORY_MAX: u64 = 120 << 20;
/// Slow readers of one large response each.
const READERS: usize = 500;
const LARGE_BYTES: usize = 1 << 20;
/// Receive buffer of a slow reader; the kernel of its machine would otherwise read for it.
const RECEIVE_BUFFER_BYTES: usize = 4096;

fn start() -> Deployment {
    let mut deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 0,
        dispatchers: 1,
        services: 2,
    });
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::Answer);
        service.set_large_body(&vec![b'x'; LARGE_BYTES]);
    }
    let entry = &mut deployment.entries[0];
    entry.kill();
    entry.contracts = "rules, pressure".to_owned();
    entry.start();
    let ready = entry.ready;
    wait_for("the entry is ready", || {
        call(ready, "GET", "/-/ready", &[], b"").is_some_and(|reply| reply.status == 200)
    });
    wait_for("the entry knows the endpoints", || {
        status(&deployment, "/calls/x", "first") == Some(200)
    });
    deployment
}

fn status(deployment: &Deployment, path: &str, id: &str) -> Option<u16> {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    let reply = deployment.call(0, "POST", path, &headers, b"body");
    reply.map(|reply| reply.status)
}

/// Requests the large response and returns the connection, on which the kernel reads hardly
/// anything by itself.
fn request_large(addr: SocketAddr, id: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    sized.expect("a small receive buffer");
    socket.connect(&addr.into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    let head = format!(
        "POST /calls/large HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 1400\r\n\
         content-length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).expect("a request");
    stream.set_nonblocking(true).expect("no blocking");
    stream
}

/// Reads up to `max` bytes of each response, and appends them to `heads` as long as those are
/// short; returns the number of connections that are open.
fn read_some(readers: &mut [TcpStream], heads: &mut [Vec<u8>], max: usize) -> usize {
    let mut buf = vec![0; max];
    let mut open = 0;
    for (reader, head) in readers.iter_mut().zip(heads) {
        match reader.read(&mut buf) {
            Ok(0) => {}
            Ok(bytes) => {
                open += 1;
                if head.len() < 256 {
                    head.extend_from_slice(&buf[..bytes]);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => open += 1,
            Err(_) => {}
        }
    }
    open
}

/// Guards against an entry that dies of the responses that it holds for slow readers, and against
/// one that serves nobody else meanwhile.
#[test]
fn an_entry_with_many_slow_readers_stays_within_its_memory_and_serves_others() {
    let mut deployment = start();
    let addr = deployment.entries[0].calls;
    let mut readers: Vec<TcpStream> = (0..READERS)
        .map(|n| request_large(addr, &format!("slow-{n}")))
        .collect();
    let mut heads = vec![Vec::new(); READERS];
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let slow = scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                read_some(&mut readers, &mut heads, 512);
                thread::sleep(Duration::from_millis(50));
            }
        });
        for n in 0..200 {
            let id = format!("other-{n}");
            assert_eq!(status(&deployment, "/calls/x", &id), Some(200), "{id}");
            thread::sleep(Duration::from_millis(20));
        }
        done.store(true, Ordering::Relaxed);
        slow.join().expect("the slow readers");
    });
    deployment.entries[0].expect_running();
    let peak = deployment.entries[0].process().peak_memory();
    println!("peak memory: {} MB", peak >> 20);
    assert!(peak < MEMORY_MAX, "{} MB", peak >> 20);
    let of_status = |status: &str| {
        let start = format!("HTTP/1.1 {status}");
        let heads = heads.iter();
        heads
            .filter(|head| head.starts_with(start.as_bytes()))
            .count()
    };
    let counts = ["200", "503", "504"].map(of_status);
    println!("200, 503 and 504: {counts:?}");
    assert!(counts[0] > 0, "no slow reader gets its response");
    assert_eq!(counts.iter().sum::<usize>(), READERS, "{counts:?}");
    for head in heads
        .iter()
        .filter(|head| head.starts_with(b"HTTP/1.1 503"))
    {
        let head = String::from_utf8_lossy(head).to_lowercase();
        assert!(head.contains("retry-after: "), "{head}");
    }
}

/// Measures the memory of an entry: idle, after calls, for each connection, and for each response that
/// it holds.
#[test]
#[ignore = "a benchmark; prints figures and checks nothing"]
fn memory_of_an_entry() {
    let deployment = start();
    let addr = deployment.entries[0].calls;
    let process = deployment.entries[0].process();
    let print = |what: &str| {
        let (now, peak) = (process.memory() >> 10, process.peak_memory() >> 10);
        println!("{what}: {now} KB, peak {peak} KB");
        process.memory()
    };
    print("idle");
    for n in 0..200 {
        status(&deployment, "/calls/x", &format!("call-{n}"));
    }
    let before = print("after 200 calls");
    let idle: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(addr).expect("a connection"))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let after = print("with 200 idle connections");
    println!("each: {} bytes", after.saturating_sub(before) / 200);
    drop(idle);
    thread::sleep(Duration::from_millis(300));
    print("without them");
    // Another process: this one has memory left over.
    let deployment = start();
    let addr = deployment.entries[0].calls;
    let process = deployment.entries[0].process();
    let before = process.memory();
    let mut readers: Vec<TcpStream> = (0..12)
        .map(|n| request_large(addr, &format!("held-{n}")))
        .collect();
    let mut heads = vec![Vec::new(); readers.len()];
    thread::sleep(Duration::from_millis(800));
    read_some(&mut readers, &mut heads, 256);
    let held = heads.iter().filter(|head| !head.is_empty()).count();
    let after = process.memory();
    let each = after.saturating_sub(before) / held.max(1) as u64;
    println!("{held} responses of {LARGE_BYTES} bytes held, each: {each} bytes");
}

/// Guards against responses that are held for clients that never read them.
#[test]
fn a_response_that_nobody_reads_is_abandoned_and_its_memory_is_free_again() {
    let deployment = start();
    let addr = deployment.entries[0].calls;
    let mut readers: Vec<TcpStream> = (0..100)
        .map(|n| request_large(addr, &format!("idle-{n}")))
        .collect();
    let log = || deployment.entries[0].process().log();
    wait_for("large responses find no room", || {
        readers.push(request_large(addr, "one-more"));
        status(&deployment, "/calls/large", "probe") == Some(503)
    });
    wait_for("the refusal is logged", || log().contains("event=no-room"));
    wait_for("responses are abandoned", || {
        log().contains("event=response-unread")
    });
    wait_for("large responses find room", || {
        status(&deployment, "/calls/large", "probe") == Some(200)
    });
    let mut heads = vec![Vec::new(); readers.len()];
    wait_for("connections are closed", || {
        read_some(&mut readers, &mut heads, 64 << 10) < heads.len()
    });
}
