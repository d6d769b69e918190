//! What an entry reads again and again from the platform.

use crate::config_object::CONFIG_PREFIX;
use crate::entry_event::EntryEvent;
use crate::instance_list;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError};
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

/// Follows the configuration objects in the store until the control thread has ended.
pub async fn watch_config(store: StoreClient, events: Sender<EntryEvent>) {
    let mut position = None;
    let mut wait = BACKOFF_MIN;
    loop {
        let answer = match position {
            None => store.list(CONFIG_PREFIX).await,
            Some(after) => store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await,
        };
        match answer {
            Ok(objects) => {
                wait = BACKOFF_MIN;
                position = Some(objects.revision);
                if events.send(EntryEvent::Stored(objects)).is_err() {
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

/// Waits between half and the whole of `longest`, so that entries do not come back together.
async fn pause(longest: Millis) {
    let length = rand::rng().random_range(longest.0 / 2..=longest.0);
    smol::Timer::after(Duration::from_millis(length)).await;
}
