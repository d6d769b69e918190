//! An HTTP/1.1 client that opens a connection for each call.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of connecting and of each read.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Sends a request and returns the connection, from which the response can be read.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    Some(stream)
}

/// Sends a request and returns the response; `None` when the connection ends without a complete
/// one.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Reply> {
    let mut stream = send(addr, method, path, headers, body)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split_whitespace().nth(1)?.parse().ok()?;
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let body = bytes[end + 4..].to_vec();
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    if length.is_some_and(|length: usize| length != body.len()) {
        return None;
    }
    Some(Reply {
        status,
        headers,
        body,
    })
}
