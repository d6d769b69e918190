//! Checks the key of a request before any byte of its body is read.

use super::entry_process::Entry;
use super::key_refusal::KeyRefusal;
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
use oleanderlock::workspaces::key_decision::KeyDecision;
use oleanderlock::workspaces::key_holder::KeyHolder;
use oleanderlock::workspaces::key_table::KeyTable;

/// Time after which a client may retry while the configuration can't be confirmed: another entry may
/// be able to.
const UNCONFIRMED_RETRY_AFTER: Millis = Millis(500);

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
        find(entry, keys, headers).map(Some)
    };
    headers.remove(AUTHORIZATION);
    headers.remove(headers::WORKSPACE);
    let refusal = match found {
        Ok(client) => {
            client
                .iter()
                .for_each(|client| entry.key_log.record(client));
            head.client = client;
            return None;
        }
        Err(refusal) => refusal,
    };
    event(log::Level::Info, "key-refused", || {
        let version = routes.config.version;
        format!(
            "request={} route={} reason={refusal} config={version}{}",
            head.id,
            route.map_or("none", |route| &route.name),
            refusal.holder().map(holder_pairs).unwrap_or_default()
        )
    });
    entry.metrics.record_refusal(refusal.metric());
    Some(response_to(&refusal))
}

/// Returns the workspace whose key a request has, or why it is refused.
fn find(entry: &Entry, keys: &KeyTable, headers: &HeaderMap) -> Result<KeyHolder, KeyRefusal> {
    let values = headers.get_all(AUTHORIZATION).into_iter();
    let digest = credentials::key_digest(values.map(HeaderValue::as_bytes));
    let digest = digest.map_err(KeyRefusal::Malformed)?;
    let holder = keys.find(&digest);
    let age = entry.confirmation.age();
    match (entry.key_policy.decide(holder.is_some(), age), holder) {
        (KeyDecision::Serve, Some(holder)) => Ok(holder),
        (KeyDecision::Unconfirmed, holder) => Err(KeyRefusal::Unconfirmed { holder }),
        _ => Err(KeyRefusal::Unknown),
    }
}

/// Returns the pairs of a log line that name a key.
fn holder_pairs(holder: &KeyHolder) -> String {
    format!(" workspace={:?} key={}", holder.workspace, holder.number)
}

fn response_to(refusal: &KeyRefusal) -> FullResponse {
    if matches!(refusal, KeyRefusal::Unconfirmed { .. }) {
        return response::refusal(UNCONFIRMED_RETRY_AFTER);
    }
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
