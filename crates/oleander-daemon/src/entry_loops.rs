//! What an entry reads again and again from the platform.

use crate::config_object::CONFIG_PREFIX;
use crate::entry_event::EntryEvent;
use crate::instance_list;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};
use crate::watch_switch::WatchSwitch;
use rand::Rng;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Time between two reads of the list of instances.
const LIST_EVERY: Duration = Duration::from_millis(1000);
/// Longest wait of one watch call.
const WATCH_WAIT: Millis = Millis(20_000);
/// First wait after a failed call.
const BACKOFF_MIN: Millis = Millis(100);
/// Longest wait after failed calls.
const BACKOFF_MAX: Millis = Millis(5000);

/// Reads the list of instances until the control thread has ended.
pub async fn read_list(base: String, events: Sender<EntryEvent>) {
    loop {
        if let Some(instances) = instance_list::read(&base).await
            && events.send(EntryEvent::Listed(instances)).is_err()
        {
            return;
        }
        smol::Timer::after(LIST_EVERY).await;
    }
}

/// Follows the configuration objects in the store, while the switch is on, until the control
/// thread has ended.
pub async fn watch_config(store: StoreClient, switch: WatchSwitch, events: Sender<EntryEvent>) {
    let mut position = None;
    let mut wait = BACKOFF_MIN;
    loop {
        if !switch.is_on() {
            // What happens meanwhile comes from peers, and from a listing later.
            position = None;
            pause(BACKOFF_MAX).await;
            continue;
        }
        match look(&store, position).await {
            Ok(Look { revision, event }) => {
                wait = BACKOFF_MIN;
                position = Some(revision);
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(fault) => {
                if fault == StoreError::HistoryGone {
                    position = None;
                }
                log::debug!("event=watch-failed reason=\"{fault}\"");
                pause(wait).await;
                wait = Millis(wait.0 * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// One answer of the store.
struct Look {
    revision: u64,
    event: EntryEvent,
}

async fn look(store: &StoreClient, position: Option<u64>) -> Result<Look, StoreError> {
    let Some(after) = position else {
        let objects = store.list(CONFIG_PREFIX).await?;
        return Ok(Look {
            revision: objects.revision,
            event: EntryEvent::StoreListing(objects),
        });
    };
    let objects = store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await?;
    Ok(Look {
        revision: objects.revision,
        event: EntryEvent::StoreChanges(objects),
    })
}

/// Waits between half and the whole of `longest`, so that entries do not come back together.
async fn pause(longest: Millis) {
    let length = rand::rng().random_range(longest.0 / 2..=longest.0);
    smol::Timer::after(Duration::from_millis(length)).await;
}
