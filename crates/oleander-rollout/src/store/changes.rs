//! Reads the objects of a kind that are new or changed, without waiting for any.

use super::store_client::StoreClient;
use super::store_error::StoreError;
use super::watch::{list_pages, log_unreadable};
use crate::prelude::*;
use oleander_platform::object_change::ObjectChange;
use oleander_platform::stored_object::StoredObject;

/// Reads the objects of a kind that were created or changed after the revision `from`, or all without it;
/// returns the revision from which to go on too.
///
/// # Errors
///
/// [`StoreError`]; after [`StoreError::HistoryGone`] all must be read again.
pub async fn read_changes(
    store: &StoreClient,
    kind: &str,
    from: Option<u64>,
) -> Result<(Vec<StoredObject>, u64), StoreError> {
    let Some(from) = from else {
        let pages = list_pages(store, kind, None).await?;
        // The revision of the first page: changes made between two pages are read again.
        let revision = pages.first().map_or(0, |page| page.revision);
        let objects = pages.into_iter().flat_map(|page| {
            log_unreadable(kind, &page.errors);
            page.objects
        });
        return Ok((objects.collect(), revision));
    };
    let page = store.watch(kind, from, Millis::ZERO).await?;
    log_unreadable(kind, &page.errors);
    let objects = page.changes.into_iter().filter_map(|change| match change {
        ObjectChange::Put(object) => Some(object),
        ObjectChange::Gone(_) => None,
    });
    Ok((objects.collect(), page.revision))
}
