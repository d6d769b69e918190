//! Conditional writes of configuration objects, with answers that may be lost.

use crate::contracts::config_object::ConfigObject;
use crate::prelude::*;
use crate::store::store_client::{Condition, StoreClient, StoreError, StoredObject};
use oleanderlock::store_answer::NO_VERSION;
use oleanderlock::store_write::{READ_BACK_INTERVAL, StoreWrite};
use oleanderlock::write_id::WriteId;
use oleanderlock::write_outcome::WriteOutcome;
use std::time::Duration;

/// Reads after a lost answer before the writer gives up.
const READ_BACKS: u32 = 10;

/// What became of an amendment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Amended {
    /// It is accepted, under this generation.
    Accepted(Generation),
    /// Another one was accepted first; this is what stands.
    Conflict(Standing),
    /// The store refused it; nothing has changed.
    Refused,
    /// The store does not tell whether it took effect.
    Unknown,
}

/// A configuration object as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Its generation, 0 for none.
    pub generation: Generation,
    /// Its value.
    pub object: ConfigObject,
}

/// Reads a configuration object.
///
/// # Errors
///
/// The store's refusal or silence.
pub async fn read(store: &StoreClient, name: &str) -> Result<Standing, StoreError> {
    let found = store.get(name).await?;
    Ok(found.map(standing).unwrap_or_default())
}

/// Replaces the text of an object if it still has the generation that was read.
pub async fn amend(store: &StoreClient, name: &str, read: &Standing, text: String) -> Amended {
    let base = read.generation.0;
    let write = StoreWrite {
        id: WriteId(rand::random()),
        base,
    };
    let object = read.object.amended(base, text, write);
    let Ok(value) = serde_json::to_string(&object) else {
        return Amended::Refused;
    };
    let condition = if base == NO_VERSION {
        Condition::Absent
    } else {
        Condition::Version(base)
    };
    match store.put(name, condition, value).await {
        Ok(version) => Amended::Accepted(Generation(version)),
        Err(StoreError::NoAnswer) => find_out(store, name, write).await,
        Err(StoreError::Mismatch { .. }) => conflict(store, name).await,
        Err(_) => Amended::Refused,
    }
}

async fn conflict(store: &StoreClient, name: &str) -> Amended {
    match read(store, name).await {
        Ok(standing) => Amended::Conflict(standing),
        Err(_) => Amended::Refused,
    }
}

async fn find_out(store: &StoreClient, name: &str, write: StoreWrite) -> Amended {
    for _ in 0..READ_BACKS {
        if let Ok(standing) = read(store, name).await {
            match standing.object.fate(standing.generation.0, &write) {
                // An overwritten amendment was accepted all the same.
                WriteOutcome::TookEffect | WriteOutcome::Overwritten => {
                    return Amended::Accepted(standing.generation);
                }
                WriteOutcome::NeverTookEffect => return Amended::Conflict(standing),
                WriteOutcome::CannotTell => {}
            }
        }
        smol::Timer::after(Duration::from(READ_BACK_INTERVAL)).await;
    }
    Amended::Unknown
}

fn standing(found: StoredObject) -> Standing {
    let object = found
        .value
        .as_deref()
        .and_then(ConfigObject::parse)
        .unwrap_or_default();
    Standing {
        generation: Generation(found.version),
        object,
    }
}
