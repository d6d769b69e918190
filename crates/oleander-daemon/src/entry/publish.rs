//! Publishes weight versions.

use crate::contracts::amend_outcome::AmendOutcome;
use crate::contracts::config_object::VERSION_PREFIX;
use crate::contracts::config_write::{amend, read};
use crate::entry::entry_cx::EntryCx;
use crate::prelude::*;

/// Attempts against other writers of the same model.
const ATTEMPTS_MAX: u32 = 5;
/// When to come back while the store can't be reached.
const STORE_RETRY: Millis = Millis(500);

/// Makes a version the one that all workers of a model must load; an older one changes nothing.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] or [`ErrorKind::Conflict`].
pub async fn publish(cx: &EntryCx, model: &str, version: Version) -> Result<(), HttpError> {
    let unavailable = || HttpError::not_run(ErrorKind::StoreUnavailable).retry_after(STORE_RETRY);
    let name = format!("{VERSION_PREFIX}{model}");
    for _ in 0..ATTEMPTS_MAX {
        let current = read(&cx.store, &name).await.map_err(|_| unavailable())?;
        let current_version = current.object.text.parse().map(Version).unwrap_or_default();
        if current_version >= version {
            return Ok(());
        }
        match amend(&cx.store, &name, &current, version.0.to_string()).await {
            AmendOutcome::Accepted(_) => return Ok(()),
            AmendOutcome::Conflict(_) => {}
            AmendOutcome::Refused => return Err(unavailable()),
            AmendOutcome::Unknown => {
                return Err(HttpError::new(ErrorKind::StoreUnavailable, Ran::Unknown)
                    .retry_after(STORE_RETRY));
            }
        }
    }
    Err(HttpError::not_run(ErrorKind::Conflict).retry_after(STORE_RETRY))
}
