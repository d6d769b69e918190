//! The record of the duties as object of the platform's store.

use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use oleanderlock::duties::duty_record::DutyRecord;
use oleanderlock::duties::duty_write::DutyWrite;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::to_raw_value;

/// Kind of the record.
pub const DUTY_KIND: &str = "duties";
/// Name of the record. Usage reports and scale orders share it, so that they have one holder and one
/// fence.
pub const DUTY_NAME: &str = "usage";

/// Reads the record and its revision; `None` if there is none.
///
/// # Errors
///
/// [`StoreError`].
pub(super) async fn read<S: DeserializeOwned>(
    store: &StoreClient,
) -> Result<Option<(DutyRecord<S>, u64)>, StoreError> {
    let Some(object) = store.get(DUTY_KIND, DUTY_NAME).await? else {
        return Ok(None);
    };
    let record = serde_json::from_str(object.spec.get()).map_err(StoreError::not_done)?;
    Ok(Some((record, object.revision)))
}

/// Carries out a write; returns the new revision of the record.
///
/// # Errors
///
/// [`StoreError`]; [`StoreError::Conflict`] if the record has changed.
pub(super) async fn write<S: Serialize>(
    store: &StoreClient,
    write: &DutyWrite<S>,
) -> Result<u64, StoreError> {
    let spec = to_raw_value(&write.record).map_err(StoreError::not_done)?;
    match write.revision {
        Some(revision) => {
            store
                .replace_at(DUTY_KIND, DUTY_NAME, revision, &spec)
                .await
        }
        None => store.create_at(DUTY_KIND, DUTY_NAME, &spec).await,
    }
}
