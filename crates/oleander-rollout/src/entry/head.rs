//! What an entry reads from the head of a request.

use crate::prelude::*;
use http::HeaderMap;
use http::header::HOST;
use http::request::Parts;
use oleander_platform::headers;

/// What an entry reads from the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of the client's attempt.
    pub id: String,
    /// Host without a port.
    pub host: String,
    /// When the head was read.
    pub arrived: Millis,
    /// For how long the client waits, if it says so.
    pub patience: Option<Millis>,
}

impl RequestHead {
    /// Reads the head of a request that arrived now.
    pub fn read(parts: &Parts) -> Self {
        let host = text(&parts.headers, HOST.as_str()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        let id = text(&parts.headers, headers::REQUEST_ID).map(str::to_owned);
        Self {
            id: id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
            host: host.to_owned(),
            arrived: now(),
            patience: number(&parts.headers, headers::DEADLINE_MS).map(Millis),
        }
    }
}

/// Returns the text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the number in a header.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
