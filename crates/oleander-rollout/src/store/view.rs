//! The local copy of the platform's store.

use super::leader_object::LeaderObject;
use crate::prelude::*;
use event_listener::{Event, EventListener};
use indexmap::{IndexMap, IndexSet};
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::route_table::RouteTable;
use parking_lot::RwLock;
use std::net::SocketAddr;
use std::sync::Arc;

/// The local copy of what this process needs from the platform's store; an entry or agent gets
/// parts of it from the leader.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force with its routes; `None` until one is known.
    pub routes: Option<Arc<RouteTable>>,
    /// Endpoints of all services.
    pub endpoints: Arc<EndpointTable>,
    /// Newest weight version that a trainer has published, by model.
    pub versions: IndexMap<String, u64>,
    /// The leader object and its revision in the store.
    pub leader: Option<(LeaderObject, u64)>,
    /// Whether the objects about dispatchers have been read at least once.
    pub dispatchers_known: bool,
    /// Addresses of the dispatchers, by node.
    pub dispatchers: IndexMap<String, SocketAddr>,
    /// Names of the nodes that are to be retired and are not empty yet.
    pub retiring: IndexSet<String>,
    /// Whether `endpoints` is complete and up to date, so that others may rely on it.
    pub endpoints_known: bool,
    /// Revision of the store when this process first read it; 0 before.
    pub first_revision: u64,
}

impl View {
    /// Returns the leader if its epoch is later than `epoch`.
    pub fn newer_leader(&self, epoch: u64) -> Option<&LeaderObject> {
        let leader = self.leader.as_ref().map(|(leader, _)| leader);
        leader.filter(|leader| leader.epoch > epoch)
    }
}

/// A view that is shared between threads; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct SharedView {
    view: Arc<RwLock<Arc<View>>>,
    changed: Arc<Event>,
}

impl SharedView {
    /// Returns the current view, which later updates don't change.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.view.read())
    }

    /// Applies `change` to a copy of the view, replaces the view by it and wakes those that wait
    /// for a change.
    ///
    /// Only one thread may update the view at a time: one of two concurrent updates may be lost.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.get());
        change(&mut view);
        *self.view.write() = Arc::new(view);
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until `ready` holds, for at most `limit`; returns whether it does.
    pub async fn wait_until(&self, limit: Millis, ready: impl Fn(&View) -> bool) -> bool {
        let wait = async {
            loop {
                let listener = self.listen();
                if ready(&self.get()) {
                    return;
                }
                listener.await;
            }
        };
        within(limit, wait).await.is_some()
    }
}
