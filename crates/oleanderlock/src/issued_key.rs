//! Idempotency keys that contain the agent incarnation on which their request runs.
//!
//! An entry is a process that accepts calls and routes them. An agent is the process at an endpoint
//! that runs them; an incarnation is one start of it. The platform's store is the object store in
//! which the entries otherwise keep the bindings of keys to agents.
//!
//! Any entry can route such a key without a lookup, so that all calls with one key reach the same
//! attempt ledger and no write to the platform's store is needed. A keyed BLAKE3 hash authenticates
//! keys that were issued by an entry of this deployment.

use crate::prelude::*;
use derive_more::{Display, Error};

/// BLAKE3 context for deriving request identities from keys.
const REQUEST_ID_CONTEXT: &str = "oleanderlock 2026 request identity of an issued key";
/// BLAKE3 context for deriving the MAC key from the shared secret.
const SECRET_CONTEXT: &str = "oleanderlock 2026 secret of issued keys";
/// Prefix of every issued key, with the version of the format.
const PREFIX: &str = "ok1";

/// The content of an issued idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// Model or service that the key may be used with.
    pub target: String,
    /// Instance name of the agent, by which the entry finds its connection.
    pub agent: String,
    /// The only incarnation that may run the request.
    pub incarnation: Incarnation,
    /// Expiry on that agent's clock. No attempt with the key may start later, so it is also the
    /// [`horizon`](crate::submission::Submission::horizon) of every attempt.
    pub expires: Millis,
    /// Random number that makes the key unique.
    pub nonce: u128,
}

/// Why a text is not a valid key, or a key can't be issued.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum KeyError {
    /// The text does not have the form of an issued key.
    #[display(
        "the key does not have the form `ok1~TARGET~AGENT~INCARNATION~EXPIRES~NONCE.MAC` of an issued key"
    )]
    Malformed,
    /// The hash matches none of the known secrets.
    #[display("the key was not issued with a current or previous secret of this deployment")]
    Forged,
    /// The target or the name of the agent is empty or has a character that a key can't contain.
    #[display(
        "the target or agent name of the key is empty or has `~`, a space, or a character that is not printable ASCII"
    )]
    BadName,
}

/// The secrets under which keys are issued and verified.
#[derive(Clone)]
pub struct KeySecrets {
    current: [u8; 32],
    previous: Vec<[u8; 32]>,
}

impl KeySecrets {
    /// Derives the MAC keys from the shared secret of the deployment and from previous secrets.
    /// Idempotency keys are issued with the current secret and accepted with any of them.
    pub fn new(current: &[u8], previous: &[&[u8]]) -> Self {
        Self {
            current: derive(current),
            previous: previous.iter().map(|secret| derive(secret)).collect(),
        }
    }

    /// Returns the key as the text that callers send.
    ///
    /// # Errors
    ///
    /// [`KeyError::BadName`] if the target or the name of the agent is empty, has `~` or a space, or
    /// has a character that is not printable ASCII.
    pub fn issue(&self, key: &IssuedKey) -> Result<String, KeyError> {
        let valid = is_name(&key.target) && is_name(&key.agent);
        if !valid {
            return Err(KeyError::BadName);
        }
        let body = key.body();
        let mac = blake3::keyed_hash(&self.current, body.as_bytes());
        Ok(format!("{body}.{}", mac.to_hex()))
    }

    /// Parses the text of a key and checks its hash. Does not check the expiry.
    ///
    /// # Errors
    ///
    /// [`KeyError::Malformed`] or [`KeyError::Forged`].
    pub fn verify(&self, text: &str) -> Result<IssuedKey, KeyError> {
        let (body, mac) = text.rsplit_once('.').ok_or(KeyError::Malformed)?;
        let mac = blake3::Hash::from_hex(mac).map_err(|_| KeyError::Malformed)?;
        let key = parse(body).ok_or(KeyError::Malformed)?;
        let is_ours = |secret| blake3::keyed_hash(secret, body.as_bytes()) == mac;
        match is_ours(&self.current) || self.previous.iter().any(is_ours) {
            true => Ok(key),
            false => Err(KeyError::Forged),
        }
    }
}

impl IssuedKey {
    /// Returns whether a text has the prefix of issued keys; others are chosen by callers.
    pub fn is_issued(text: &str) -> bool {
        text.split('~').next() == Some(PREFIX)
    }

    /// Returns the identity of the only request that runs under this key.
    pub fn request_id(&self) -> RequestId {
        let hash = blake3::derive_key(REQUEST_ID_CONTEXT, self.body().as_bytes());
        RequestId(u128::from_be_bytes(first_half(hash)))
    }

    /// Returns whether the key has expired at time `now` of its agent's clock.
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.expires
    }

    fn body(&self) -> String {
        format!(
            "{PREFIX}~{}~{}~{}~{:x}~{:x}",
            self.target, self.agent, self.incarnation, self.expires.0, self.nonce
        )
    }
}

fn parse(body: &str) -> Option<IssuedKey> {
    let mut fields = body.split('~');
    if fields.next()? != PREFIX {
        return None;
    }
    let key = IssuedKey {
        target: fields.next()?.to_owned(),
        agent: fields.next()?.to_owned(),
        incarnation: Incarnation(u64::from_str_radix(fields.next()?, 16).ok()?),
        expires: Millis(u64::from_str_radix(fields.next()?, 16).ok()?),
        nonce: u128::from_str_radix(fields.next()?, 16).ok()?,
    };
    let canonical = fields.next().is_none() && key.body() == body;
    canonical.then_some(key)
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b'~')
}

fn derive(secret: &[u8]) -> [u8; 32] {
    blake3::derive_key(SECRET_CONTEXT, secret)
}

fn first_half(hash: [u8; 32]) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&hash[..16]);
    half
}
