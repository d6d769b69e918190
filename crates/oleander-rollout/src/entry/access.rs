//! Checks the key of a request before any byte of its body is read.

use super::entry_process::Entry;
use super::request_head::RequestHead;
use super::unread_body;
use crate::http::response::{self, FullResponse};
use crate::prelude::*;
use http::header::{AUTHORIZATION, CONNECTION, EXPECT, HeaderValue, WWW_AUTHENTICATE};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use oleander_platform::{credentials, headers};
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_table::RouteTable;
use oleanderlock::workspaces::key_holder::KeyHolder;
use oleanderlock::workspaces::key_table::KeyTable;

/// Checks the key of a request and records its workspace in `head`; returns the response if the
/// request is refused.
///
/// In a deployment with workspaces, the headers with the key and with the name of a workspace are
/// removed, so that they are not forwarded; without workspaces, nothing is checked or changed.
pub fn check(
    entry: &Entry,
    head: &mut RequestHead,
    headers: &mut HeaderMap,
    routes: &RouteTable,
    route: Option<&Route>,
) -> Option<FullResponse> {
    let keys = routes.keys.as_ref()?;
    let is_public = route.is_some_and(|route| route.public);
    let found = if is_public {
        Ok(None)
    } else {
        find(keys, headers).map(Some)
    };
    headers.remove(AUTHORIZATION);
    headers.remove(headers::WORKSPACE);
    match found {
        Ok(client) => {
            head.client = client;
            None
        }
        Err(reason) => {
            event(log::Level::Info, "key-refused", || {
                let version = routes.config.version;
                format!(
                    "request={} route={} reason={reason} config={version}",
                    head.id,
                    route.map_or("none", |route| &route.name)
                )
            });
            entry.metrics.record_refusal("key");
            Some(unauthorized())
        }
    }
}

/// Returns the workspace whose key a request has, or why it has none.
fn find(keys: &KeyTable, headers: &HeaderMap) -> Result<KeyHolder, String> {
    let values = headers.get_all(AUTHORIZATION).into_iter();
    let digest = credentials::key_digest(values.map(HeaderValue::as_bytes));
    let digest = digest.map_err(|error| error.to_string())?;
    keys.find(&digest).ok_or_else(|| "unknown".to_owned())
}

fn unauthorized() -> FullResponse {
    let mut response = response::status(StatusCode::UNAUTHORIZED);
    let challenge = HeaderValue::from_static(credentials::SCHEME);
    response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    response
}

/// Keeps the connection of a refused request usable: its body is read and dropped while the
/// response is on its way.
pub fn leave_body(parts: &Parts, body: Incoming, max_bytes: usize, response: &mut FullResponse) {
    if parts.headers.contains_key(EXPECT) {
        // The client may leave out a body that it has announced, and then only it knows where the
        // next request starts.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    unread_body::spawn_drop(body, max_bytes);
}
