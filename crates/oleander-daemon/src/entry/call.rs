//! What every interactive call has in common.

use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::Terms;
use crate::http::access;
use crate::http::http_input::header_number;
use crate::prelude::*;
use crate::process::hash64::{first_word, hash64};
use bytes::Bytes;
use oleanderlock::request_tracker::{Placement, RequestSpec};
use trillium::Conn;

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 256;

/// An accepted call before its request is built.
#[derive(Clone, Debug)]
pub struct Call {
    /// The terms under which it runs.
    pub terms: Terms,
    /// When the caller is answered at the latest.
    pub deadline: Millis,
    /// The caller vouches that it has sent its key in no earlier call.
    pub first_call: bool,
}

impl Call {
    /// Reads headers and finds the contract.
    ///
    /// # Errors
    ///
    /// A fault of the headers, or that no contract covers the call.
    pub async fn read(cx: &EntryCx, conn: &Conn, service: Option<&str>) -> Result<Self, HttpError> {
        access::check(conn, &cx.cfg.caller_tokens)?;
        let class = conn.request_headers().get_str("x-class").map(str::to_owned);
        let terms = cx.terms(class, service.map(str::to_owned)).await;
        let terms = terms.ok_or_else(|| HttpError::not_run(ErrorKind::NoContract))?;
        let longest = terms.contract.classes[&terms.class].deadline;
        let asked = header_number(conn, "x-deadline-ms")?.map_or(longest, Millis);
        Ok(Self {
            deadline: now().plus(asked.min(longest)),
            first_call: conn.request_headers().get_str("x-first-call") == Some("yes"),
            terms,
        })
    }

    /// Returns identity and placement of a request without a key.
    pub fn spec(&self, idempotent: bool) -> RequestSpec {
        RequestSpec {
            id: RequestId(rand::random()),
            idempotent,
            deadline: self.deadline,
            first_attempt: 0,
            placement: Placement::Free,
        }
    }
}

/// Returns the hash of a prompt's prefix.
pub fn prefix_of(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    hash64(&prompt.as_bytes()[..end])
}

/// Returns a hash of target and body.
pub fn fingerprint(target: &str, body: &Bytes) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    first_word(&hasher.finalize())
}
