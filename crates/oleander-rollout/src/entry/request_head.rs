//! Fields of the head of a request that an entry uses.

use crate::prelude::*;
use http::HeaderMap;
use http::header::HOST;
use http::request::Parts;
use oleander_platform::headers;
use oleanderlock::workspaces::key_holder::KeyHolder;
use std::sync::Arc;

/// Fields of the head of a request that an entry uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id from the request, or a random one; each attempt of the client has its own.
    pub id: String,
    /// Host without the port; empty if the request names none.
    pub host: String,
    /// When the head was read.
    pub arrived: Millis,
    /// Time for which the client waits for the response, if the request states it.
    pub client_timeout: Option<Millis>,
    /// Workspace whose key the request has, once it has been checked; `None` without workspaces and
    /// on public routes.
    pub client: Option<KeyHolder>,
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
            client_timeout: number(&parts.headers, headers::DEADLINE_MS).map(Millis),
            client: None,
        }
    }
}

impl RequestHead {
    /// Returns the workspace of the client, with which it shares room.
    pub fn workspace(&self) -> Option<Arc<str>> {
        let client = self.client.as_ref();
        client.map(|client| Arc::clone(&client.workspace))
    }
}

/// Returns the value of a header; `None` if it is missing or not valid text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a header as a number; `None` if it is missing or not a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
