//! Issuing and verifying idempotency keys.

use oleanderlock::issued_key::{IssuedKey, KeyError, KeySecrets};
use oleanderlock::prelude::*;

fn key() -> IssuedKey {
    IssuedKey {
        target: "order-desk".into(),
        agent: "agent-3".into(),
        incarnation: Incarnation(0xfeed),
        expires: Millis(90_000),
        nonce: 42,
    }
}

#[test]
fn issued_key_is_accepted_by_any_entry() {
    let text = KeySecrets::new(b"secret", &[])
        .issue(&key())
        .expect("the names in the key are valid");
    let other_entry = KeySecrets::new(b"newer", &[b"secret"]);
    let read = other_entry.verify(&text).expect("the key is valid");
    assert_eq!(read, key());
    assert_eq!(read.request_id(), key().request_id());
    assert!(IssuedKey::is_issued(&text));
    assert!(!IssuedKey::is_issued("quote-1734"));
}

#[test]
fn changed_key_is_refused() {
    let secrets = KeySecrets::new(b"secret", &[]);
    let text = secrets
        .issue(&key())
        .expect("the names in the key are valid");
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).expect("still ASCII");
        assert!(secrets.verify(&changed).is_err(), "{changed}");
    }
}

#[test]
fn key_under_another_secret_is_forged() {
    let text = KeySecrets::new(b"guessed", &[])
        .issue(&key())
        .expect("the names in the key are valid");
    let verified = KeySecrets::new(b"secret", &[]).verify(&text);
    assert_eq!(verified, Err(KeyError::Forged));
}

#[test]
fn name_with_separator_is_refused() {
    let mut bad = key();
    bad.target = "order~desk".into();
    let issued = KeySecrets::new(b"secret", &[]).issue(&bad);
    assert_eq!(issued, Err(KeyError::BadName));
}

#[test]
fn different_keys_have_different_requests() {
    let mut other = key();
    other.nonce += 1;
    assert_ne!(other.request_id(), key().request_id());
}
