//! A server that answers each call alike and keeps what it was sent.

use parking_lot::Mutex;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

/// An answer that serves as one of the store, an engine and a service.
const ANSWER: &str =
    r#"{"meta":{"name":"n","rev":3},"spec":1,"items":[],"events":[],"as_of":5,"models":[]}"#;

/// A server that answers each call alike and keeps what it was sent.
pub struct CallLog {
    pub addr: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
}

impl CallLog {
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let calls: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(&stream);
                if let Some(call) = read(&mut reader, &addr.to_string()) {
                    kept.lock().push(call);
                }
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nserver-stamp: s\r\n\
                     connection: close\r\n\r\n",
                    ANSWER.len()
                );
                // A caller that is gone is no fault of the record.
                let _ = (&stream).write_all(format!("{head}{ANSWER}").as_bytes());
            }
        });
        Self { addr, calls }
    }

    /// Returns the calls since the last time: `METHOD PATH | HEADERS | BODY`.
    pub fn take(&self) -> String {
        std::mem::take(&mut *self.calls.lock()).join(" || ")
    }
}

fn read(reader: &mut impl BufRead, addr: &str) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ")?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
        // Time that is left differs from run to run.
        let value = if name == "deadline-ms" { "N" } else { value };
        headers.push(format!("{name}: {}", value.replace(addr, "ADDR")));
    }
    headers.sort();
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let first = first.trim_end().trim_end_matches(" HTTP/1.1");
    Some(format!("{first} | {} | {body}", headers.join("; ")))
}
