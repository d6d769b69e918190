//! Conditional writes of configuration objects, whose responses may be lost.

use crate::contracts::amend_outcome::AmendOutcome;
use crate::contracts::config_object::ConfigObject;
use crate::contracts::current_object::CurrentObject;
use crate::prelude::*;
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use crate::store::stored_object::StoredObject;
use crate::store::write_condition::WriteCondition;
use oleanderlock::store_answer::NO_VERSION;
use oleanderlock::store_write::{READ_BACK_INTERVAL, StoreWrite};
use oleanderlock::write_id::WriteId;
use oleanderlock::write_outcome::WriteOutcome;
use std::time::Duration;

/// Reads after a lost response before the outcome counts as unknown.
const READ_BACKS_MAX: u32 = 10;

/// Reads a configuration object; returns an empty one of generation 0 when it does not exist.
///
/// # Errors
///
/// [`StoreError::Refused`] or [`StoreError::NoAnswer`].
pub async fn read(store: &StoreClient, name: &str) -> Result<CurrentObject, StoreError> {
    let found = store.get(name).await?;
    Ok(found.map(current_object).unwrap_or_default())
}

/// Replaces the text of an object if it still has the generation of `current`.
pub async fn amend(
    store: &StoreClient,
    name: &str,
    current: &CurrentObject,
    text: String,
) -> AmendOutcome {
    let base = current.generation.0;
    let write = StoreWrite {
        id: WriteId(rand::random()),
        base,
    };
    let object = current.object.with_text(base, text, write);
    let Ok(value) = serde_json::to_string(&object) else {
        return AmendOutcome::Refused;
    };
    let condition = if base == NO_VERSION {
        WriteCondition::Absent
    } else {
        WriteCondition::Version(base)
    };
    match store.put(name, condition, value).await {
        Ok(version) => AmendOutcome::Accepted(Generation(version)),
        Err(StoreError::NoAnswer) => resolve_lost_write(store, name, write).await,
        Err(StoreError::Mismatch { .. }) => conflict(store, name).await,
        Err(_) => AmendOutcome::Refused,
    }
}

async fn conflict(store: &StoreClient, name: &str) -> AmendOutcome {
    match read(store, name).await {
        Ok(current) => AmendOutcome::Conflict(current),
        Err(_) => AmendOutcome::Refused,
    }
}

/// Reads the object again until it shows whether a write without a response took effect.
async fn resolve_lost_write(store: &StoreClient, name: &str, write: StoreWrite) -> AmendOutcome {
    for _ in 0..READ_BACKS_MAX {
        if let Ok(current) = read(store, name).await {
            match current.object.write_outcome(current.generation.0, &write) {
                // It was accepted, although a later write has replaced it.
                WriteOutcome::TookEffect | WriteOutcome::Overwritten => {
                    return AmendOutcome::Accepted(current.generation);
                }
                WriteOutcome::NeverTookEffect => return AmendOutcome::Conflict(current),
                WriteOutcome::CannotTell => {}
            }
        }
        smol::Timer::after(Duration::from(READ_BACK_INTERVAL)).await;
    }
    AmendOutcome::Unknown
}

fn current_object(found: StoredObject) -> CurrentObject {
    let object = found
        .value
        .as_deref()
        .and_then(ConfigObject::parse)
        .unwrap_or_default();
    CurrentObject {
        generation: Generation(found.version),
        object,
    }
}
