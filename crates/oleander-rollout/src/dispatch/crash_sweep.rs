//! Removal of old crashes from the platform's store.

use super::dispatcher::Dispatcher;
use crate::prelude::*;
use crate::store::crash_objects::CRASH_KIND;
use crate::store::store_error::StoreError;
use oleander_platform::stored_object::StoredObject;
use oleanderlock::routing::crash_suspects::{Crashes, KEEP_MS};
use std::rc::Rc;

/// Interval of the sweeps of a leader.
const SWEEP_INTERVAL: Millis = Millis::from_secs(300);

/// Removes crashes that no longer count, while this dispatcher leads, until the process ends.
pub async fn run(dispatcher: Rc<Dispatcher>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        if dispatcher.state.borrow().leading_epoch().is_none() {
            continue;
        }
        if let Err(error) = sweep(&dispatcher).await {
            event(log::Level::Warn, "crash-sweep-failed", || {
                format!("reason=\"{error}\"")
            });
        }
    }
}

async fn sweep(dispatcher: &Dispatcher) -> Result<(), StoreError> {
    let mut after = None;
    loop {
        let page = dispatcher.store.page(CRASH_KIND, after.as_deref()).await?;
        for object in page.objects.iter().filter(|object| is_old(object)) {
            dispatcher.store.delete(CRASH_KIND, &object.name).await?;
        }
        after = page.last_name;
        if !page.has_more || after.is_none() {
            return Ok(());
        }
    }
}

/// Whether the crashes no longer count; also if they can't be decoded.
fn is_old(object: &StoredObject) -> bool {
    let crashes = serde_json::from_str::<Crashes>(object.spec.get());
    crashes.map_or(true, |crashes| crashes.last_unix_ms + KEEP_MS <= unix_ms())
}
