//! What every interactive call has in common.

use crate::access;
use crate::entry_cx::EntryCx;
use crate::entry_event::Terms;
use crate::http_input::header_number;
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::issued_key::{IssuedKey, KeyError};
use oleanderlock::request_track::{Placement, RequestSpec};
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
    /// The idempotency key, if the caller gave one.
    pub key: Option<IssuedKey>,
    first_call: bool,
}

impl Call {
    /// Reads headers and finds the contract.
    ///
    /// # Errors
    ///
    /// A fault of the headers, or that no contract covers the call.
    pub async fn read(cx: &EntryCx, conn: &Conn, service: Option<&str>) -> Result<Self, HttpFault> {
        access::check(conn, &cx.cfg.caller_tokens)?;
        let class = conn.request_headers().get_str("x-class").map(str::to_owned);
        let terms = cx.terms(class, service.map(str::to_owned)).await;
        let terms = terms.ok_or_else(|| HttpFault::not_run(ErrorKind::NoContract))?;
        let longest = terms.contract.classes[&terms.class].deadline;
        let asked = header_number(conn, "x-deadline-ms")?.map_or(longest, Millis);
        Ok(Self {
            deadline: now().plus(asked.min(longest)),
            key: read_key(cx, conn)?,
            first_call: conn.request_headers().get_str("x-first-call") == Some("yes"),
            terms,
        })
    }

    /// Returns identity and placement of the request.
    pub fn spec(&self, idempotent: bool) -> RequestSpec {
        let bound = |key: &IssuedKey| Placement::Bound {
            incarnation: key.incarnation,
            first_call: self.first_call,
        };
        let id = self.key.as_ref().map(IssuedKey::request_id);
        RequestSpec {
            id: id.unwrap_or_else(|| RequestId(rand::random())),
            idempotent,
            deadline: self.deadline,
            // Two calls with one key must have different tickets.
            first_attempt: if self.key.is_some() {
                rand::random()
            } else {
                0
            },
            placement: self.key.as_ref().map_or(Placement::Free, bound),
        }
    }

    /// Returns the end of use of the key on the agent's clock.
    pub fn horizon(&self) -> Option<Millis> {
        self.key.as_ref().map(|key| key.expires)
    }
}

fn read_key(cx: &EntryCx, conn: &Conn) -> Result<Option<IssuedKey>, HttpFault> {
    let Some(text) = conn.request_headers().get_str("idempotency-key") else {
        return Ok(None);
    };
    let key = cx.secrets.verify(text).map_err(|fault: KeyError| {
        let detail = format!("Idempotency-Key: {fault}; ask POST /v1/keys for one");
        HttpFault::not_run(ErrorKind::BadRequest).detail(detail)
    })?;
    Ok(Some(key))
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

fn hash64(bytes: &[u8]) -> u64 {
    first_word(&blake3::hash(bytes))
}

fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(word)
}
