//! The local copy of the platform's store, shared between threads.

use super::view::View;
use crate::prelude::*;
use event_listener::{Event, EventListener};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;

/// A view that is shared between threads; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct SharedView {
    view: Arc<RwLock<Arc<View>>>,
    changed: Arc<Event>,
    // Held during an update; readers don't wait for it.
    updating: Arc<Mutex<()>>,
}

impl SharedView {
    /// Returns the current view, which later updates don't change.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.view.read())
    }

    /// Applies `change` to a copy of the view, replaces the view by it and wakes those that wait
    /// for a change. `change` must not update the view itself.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        let updating = self.updating.lock();
        let mut view = View::clone(&self.get());
        change(&mut view);
        *self.view.write() = Arc::new(view);
        drop(updating);
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until `ready` holds, for at most `limit`; returns whether it does.
    pub async fn wait_until(&self, limit: Millis, ready: impl Fn(&View) -> bool) -> bool {
        within(limit, self.wait_for(ready)).await.is_some()
    }

    /// Waits until `ready` holds.
    pub async fn wait_for(&self, ready: impl Fn(&View) -> bool) {
        loop {
            let listener = self.listen();
            if ready(&self.get()) {
                return;
            }
            listener.await;
        }
    }
}
