//! Publishes weight versions through the store.

use crate::contracts::amend_outcome::AmendOutcome;
use crate::contracts::config_object::VERSION_PREFIX;
use crate::contracts::config_write::{amend, read};
use crate::entry::entry_cx::EntryCx;
use crate::prelude::*;

/// Most attempts to write while other writers change the same object.
const ATTEMPTS_MAX: u32 = 5;
/// Time after which a caller may retry while the store can't be reached.
const STORE_RETRY: Millis = Millis(500);

/// Sets the version that all workers of a model must load; does nothing if the current one is the
/// same or newer.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] when the store can't be reached, [`ErrorKind::Conflict`] when
/// other writers have changed the object before each of [`ATTEMPTS_MAX`] writes.
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
