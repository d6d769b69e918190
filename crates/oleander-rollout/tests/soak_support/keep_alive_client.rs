//! An HTTP client that reuses one connection until it breaks.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::support::http::Reply;

/// Longest wait for a connection, and for each read of a response.
const TIMEOUT: Duration = Duration::from_secs(4);

/// An HTTP client of one entry that reuses its connection until it breaks.
#[derive(Debug)]
pub struct KeepAliveClient {
    addr: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl KeepAliveClient {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, stream: None }
    }

    /// Sends a request; returns `None` without a complete response.
    pub fn call(&mut self, head: &str, body: &[u8]) -> Option<Reply> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => BufReader::new(open(self.addr)?),
        };
        stream.get_mut().write_all(head.as_bytes()).ok()?;
        stream.get_mut().write_all(body).ok()?;
        let reply = read(&mut stream)?;
        let closes = reply.headers.get("connection").map(String::as_str) == Some("close");
        self.stream = (!closes).then_some(stream);
        Some(reply)
    }
}

fn open(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    Some(stream)
}

fn read(stream: &mut BufReader<TcpStream>) -> Option<Reply> {
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut headers = HashMap::new();
    loop {
        line.clear();
        stream.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or("0", String::as_str);
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some(Reply {
        status,
        headers,
        body,
    })
}
