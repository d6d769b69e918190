//! Requests under which endpoints have crashed, as objects of the platform's store.
//!
//! All processes that call endpoints watch them, so that none sends such a request on.

use super::store_client::StoreClient;
use super::store_error::StoreError;
use indexmap::IndexSet;
use oleanderlock::routing::crash_suspects::Crashes;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

/// Kind of the objects; the name is the content of the request.
pub const CRASH_KIND: &str = "crash-suspects";

/// Value of an object.
#[derive(Serialize, Deserialize)]
struct StoredCrashes {
    instances: IndexSet<String>,
    last_unix_ms: u64,
}

/// Decodes the value of an object.
///
/// # Errors
///
/// Returns an error if the value is no JSON or lacks a field.
pub fn decode_crashes(spec: &str) -> serde_json::Result<Crashes> {
    let stored: StoredCrashes = serde_json::from_str(spec)?;
    Ok(Crashes {
        instances: stored.instances,
        last_unix_ms: stored.last_unix_ms,
    })
}

/// Adds crashes to those that the store has of a request; returns all of them.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::Conflict`] if another process has changed them meanwhile.
pub async fn add_crashes(
    store: &StoreClient,
    content: &str,
    crashes: &Crashes,
) -> Result<Crashes, StoreError> {
    let current = store.get(CRASH_KIND, content).await?;
    let Some(current) = current else {
        let spec = encode_crashes(crashes)?;
        store.create(CRASH_KIND, content, &spec).await?;
        return Ok(crashes.clone());
    };
    let mut all = decode_crashes(current.spec.get()).map_err(StoreError::not_done)?;
    if all.merge(crashes) {
        let spec = encode_crashes(&all)?;
        let revision = current.revision;
        store.replace(CRASH_KIND, content, revision, &spec).await?;
    }
    Ok(all)
}

/// Encodes the value of an object.
///
/// # Errors
///
/// [`StoreError::NotDone`] if it can't be written as JSON.
pub fn encode_crashes(crashes: &Crashes) -> Result<Box<RawValue>, StoreError> {
    let stored = StoredCrashes {
        instances: crashes.instances.clone(),
        last_unix_ms: crashes.last_unix_ms,
    };
    to_raw_value(&stored).map_err(StoreError::not_done)
}
