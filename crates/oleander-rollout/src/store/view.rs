//! What the platform's store told this process.

use super::leader_object::LeaderObject;
use crate::prelude::*;
use event_listener::{Event, EventListener};
use indexmap::{IndexMap, IndexSet};
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::route_table::RouteTable;
use parking_lot::RwLock;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the platform's store told this process.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes of the configuration in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Endpoints of the list.
    pub endpoints: Arc<EndpointTable>,
    /// Newest weight version of each model that a trainer has named.
    pub versions: IndexMap<String, u64>,
    /// Who dispatches, and the revision of that object.
    pub leader: Option<(LeaderObject, u64)>,
    /// Whether the objects about dispatchers were read once.
    pub dispatchers_known: bool,
    /// Addresses of the dispatchers by node.
    pub dispatchers: IndexMap<String, SocketAddr>,
    /// Store machines that are to be emptied and are not yet.
    pub retiring: IndexSet<String>,
    /// Whether the endpoints are those of the list, not of an earlier time.
    pub endpoints_known: bool,
    /// Revision of the store when this process first read it.
    pub first_revision: u64,
}

impl View {
    /// Returns the leader if it won a later epoch than `epoch`.
    pub fn newer_leader(&self, epoch: u64) -> Option<&LeaderObject> {
        let leader = self.leader.as_ref().map(|(leader, _)| leader);
        leader.filter(|leader| leader.epoch > epoch)
    }
}

/// A view that one thread writes and others read.
#[derive(Clone, Debug, Default)]
pub struct SharedView {
    view: Arc<RwLock<Arc<View>>>,
    changed: Arc<Event>,
}

impl SharedView {
    /// Returns the view as it is now.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.view.read())
    }

    /// Changes the view and wakes those that wait for a change.
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
