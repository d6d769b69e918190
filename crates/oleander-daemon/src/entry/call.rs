//! An interactive call: its headers, deadline and contract.

use crate::entry::entry_cx::EntryCx;
use crate::entry::terms::Terms;
use crate::http::access;
use crate::http::http_input::header_number;
use crate::prelude::*;
use crate::process::hash64::{first_word, hash64};
use bytes::Bytes;
use oleanderlock::request_tracker::{Placement, RequestSpec};
use trillium::Conn;

/// Length of the prefix of a prompt, in bytes.
const PREFIX_BYTES: usize = 256;

/// An authorized call, before its request is built.
#[derive(Clone, Debug)]
pub struct Call {
    /// The class under which it runs, with the contract.
    pub terms: Terms,
    /// Latest time of the answer to the caller.
    pub deadline: Millis,
    /// Whether the caller asserts that it has sent its key in no earlier call.
    pub first_call: bool,
}

impl Call {
    /// Checks the caller's token, reads the headers and finds the contract. The deadline is that of
    /// the class, unless the caller requests a shorter one.
    ///
    /// # Errors
    ///
    /// The caller is not authorized, a header is invalid, or no contract covers the call.
    pub async fn read(cx: &EntryCx, conn: &Conn, service: Option<&str>) -> Result<Self, HttpError> {
        access::check(conn, &cx.cfg.caller_tokens)?;
        let class = conn.request_headers().get_str("x-class").map(str::to_owned);
        let terms = cx.terms(class, service.map(str::to_owned)).await;
        let terms = terms.ok_or_else(|| HttpError::not_run(ErrorKind::NoContract))?;
        let deadline_max = terms.contract.classes[&terms.class].deadline;
        let requested = header_number(conn, "x-deadline-ms")?.map_or(deadline_max, Millis);
        Ok(Self {
            deadline: now().plus(requested.min(deadline_max)),
            first_call: conn.request_headers().get_str("x-first-call") == Some("yes"),
            terms,
        })
    }

    /// Returns the specification of a request without a key, with a new random id.
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

/// Returns a hash of the first [`PREFIX_BYTES`] bytes of a prompt, by which requests with the same
/// prefix can go to the same endpoint.
pub fn prefix_of(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    hash64(&prompt.as_bytes()[..end])
}

/// Returns a hash of target and body; a key that comes with a different hash is refused as reused.
pub fn fingerprint(target: &str, body: &Bytes) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    first_word(&hasher.finalize())
}
