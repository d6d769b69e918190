//! Requests under which endpoints have crashed, as objects of the platform's store.
//!
//! All processes that call endpoints watch them, so that none sends such a request on.

use super::job_objects::to_spec;
use super::store_client::StoreClient;
use super::store_error::StoreError;
use oleanderlock::routing::crash_suspects::Crashes;

/// Kind of the objects; the name is the content of the request, the value its [`Crashes`].
pub const CRASH_KIND: &str = "crash-suspects";

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
    let Some(current) = store.get(CRASH_KIND, content).await? else {
        store
            .create(CRASH_KIND, content, &to_spec(crashes)?)
            .await?;
        return Ok(crashes.clone());
    };
    let spec = current.spec.get();
    let mut all: Crashes = serde_json::from_str(spec).map_err(StoreError::not_done)?;
    if all.merge(crashes) {
        let spec = to_spec(&all)?;
        store
            .replace(CRASH_KIND, content, current.revision, &spec)
            .await?;
    }
    Ok(all)
}
