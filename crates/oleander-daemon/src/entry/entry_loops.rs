//! Tasks of an entry that follow the platform's instance list and the configuration in the store.

use crate::contracts::config_object::CONFIG_PREFIX;
use crate::entry::entry_event::EntryEvent;
use crate::prelude::*;
use crate::store::instance_list;
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use crate::store::watch_switch::WatchSwitch;
use oleanderlock::backoff::{Backoff, BackoffConfig};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Time between two reads of the list of instances.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest wait of one watch call.
const WATCH_WAIT: Millis = Millis(20_000);
/// Time between two checks of the switch while it is off.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the list of instances periodically until the control thread has ended. A failed read is
/// skipped, so the last list stays in use.
pub async fn read_list(base: String, events: Sender<EntryEvent>) {
    loop {
        if let Some(instances) = instance_list::read(&base).await
            && events.send(EntryEvent::Listed(instances)).is_err()
        {
            return;
        }
        smol::Timer::after(LIST_INTERVAL).await;
    }
}

/// Watches the configuration objects in the store while the switch is on, until the control thread
/// has ended.
pub async fn watch_config(store: StoreClient, switch: WatchSwitch, events: Sender<EntryEvent>) {
    let mut position = None;
    let mut backoff = Backoff::new(BackoffConfig::default());
    let mut is_down = false;
    loop {
        if !switch.is_on() {
            // Until the switch is on again, changes come from peers; then a new listing catches up.
            position = None;
            smol::Timer::after(SWITCH_POLL_INTERVAL).await;
            continue;
        }
        match read_update(&store, position).await {
            Ok(StoreUpdate { revision, event }) => {
                backoff.succeed();
                if std::mem::take(&mut is_down) {
                    log::info!("event=store-back revision={revision}");
                }
                position = Some(revision);
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    position = None;
                }
                if !std::mem::replace(&mut is_down, true) {
                    log::warn!("event=store-down reason=\"{error}\"");
                }
                log::debug!("event=watch-failed reason=\"{error}\"");
                let wait = backoff.fail(rand::random());
                smol::Timer::after(Duration::from(wait)).await;
            }
        }
    }
}

/// A listing or the changes since one, with the revision of the store to continue from.
struct StoreUpdate {
    revision: u64,
    event: EntryEvent,
}

async fn read_update(
    store: &StoreClient,
    position: Option<u64>,
) -> Result<StoreUpdate, StoreError> {
    let Some(after) = position else {
        let objects = store.list(CONFIG_PREFIX).await?;
        return Ok(StoreUpdate {
            revision: objects.revision,
            event: EntryEvent::StoreListing(objects),
        });
    };
    let objects = store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await?;
    Ok(StoreUpdate {
        revision: objects.revision,
        event: EntryEvent::StoreChanges(objects),
    })
}
