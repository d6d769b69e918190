//! An HTTP/1.1 client that opens a connection for each call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response.
pub struct Reply {
    pub status: u16,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
}

/// Sends a request; `None` without a complete response within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
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
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim().to_owned())
    };
    let body = bytes[end + 4..].to_vec();
    let length = header("content-length").and_then(|text| text.parse::<usize>().ok());
    if length.is_some_and(|length| length != body.len()) {
        return None;
    }
    let retry_after = header("retry-after").and_then(|text| text.parse::<f64>().ok());
    Some(Reply {
        status,
        retry_after: retry_after.map(Duration::from_secs_f64),
        body,
    })
}
