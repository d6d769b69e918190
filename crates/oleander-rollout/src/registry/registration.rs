//! Keeps a dispatcher registered: publishes its address in the store, again whenever its entry is gone.

use crate::prelude::*;
use crate::store::dispatcher_object::{DISPATCHER_KIND, DispatcherObject, NODE_PREFIX};
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use crate::store::view::View;
use serde_json::value::{RawValue, to_raw_value};
use std::net::SocketAddr;
use std::rc::Rc;

/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Millis = Millis(200);
/// Longest time until this process sees what it has written; then it writes again.
const SEEN_WITHIN: Millis = Millis::from_secs(5);
/// Shortest time between two registrations.
const REGISTER_EVERY_MIN: Millis = Millis::from_secs(1);

/// Registers the dispatcher `node` with its address, and again when its entry has been removed, until the
/// process ends.
pub async fn keep_registered(
    store: Rc<StoreClient>,
    view: SharedView,
    node: String,
    addr: SocketAddr,
) {
    let spec = match to_raw_value(&DispatcherObject { addr }) {
        Ok(spec) => spec,
        Err(err) => {
            event(log::Level::Error, "register-failed", || {
                format!("reason=\"{err}\"")
            });
            return;
        }
    };
    loop {
        register(&store, &format!("{NODE_PREFIX}{node}"), &spec).await;
        let is_listed = |view: &View| view.dispatchers.contains_key(&node);
        view.wait_until(SEEN_WITHIN, is_listed).await;
        view.wait_for(|view| !is_listed(view)).await;
        event(log::Level::Warn, "registration-gone", || {
            format!("node={node}")
        });
        sleep(REGISTER_EVERY_MIN).await;
    }
}

/// Publishes an entry; tries until the store has it.
async fn register(store: &StoreClient, name: &str, spec: &RawValue) {
    while let Err(err) = write(store, name, spec).await {
        event(log::Level::Warn, "register-failed", || {
            format!("reason=\"{err}\"")
        });
        sleep(STORE_RETRY_PAUSE).await;
    }
}

async fn write(store: &StoreClient, name: &str, spec: &RawValue) -> Result<(), StoreError> {
    let created = store.create(DISPATCHER_KIND, name, spec).await;
    if created != Err(StoreError::Conflict) {
        return created;
    }
    match store.get(DISPATCHER_KIND, name).await? {
        Some(object) if object.spec.get() == spec.get() => Ok(()),
        Some(object) => {
            let revision = object.revision;
            store.replace(DISPATCHER_KIND, name, revision, spec).await
        }
        None => Err(StoreError::Conflict),
    }
}
