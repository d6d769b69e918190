//! The local copy of the platform's store.

use super::leader_object::LeaderObject;
use indexmap::{IndexMap, IndexSet};
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::crash_suspects::CrashSuspects;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::route_table::RouteTable;
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
    /// Addresses of the registered dispatchers, by node, in the order of their registration. Each may be gone.
    pub dispatchers: IndexMap<String, SocketAddr>,
    /// Names of the nodes that are to be retired and are not empty yet.
    pub retiring: IndexSet<String>,
    /// Whether `endpoints` is complete and up to date, so that others may rely on it.
    pub endpoints_known: bool,
    /// Whether the leading dispatcher has sent `endpoints`, so that this process doesn't know whether the
    /// store was down meanwhile.
    pub endpoints_told: bool,
    /// Place of this process among those that call endpoints; `None` until the leader has sent it.
    pub caller_rank: Option<CallerRank>,
    /// Whether the leading dispatcher has no memory for more jobs.
    pub jobs_full: bool,
    /// Requests under which endpoints have crashed, as all processes have seen it.
    pub crash_suspects: Arc<CrashSuspects>,
    /// Revision of the store when this process first read it; 0 before.
    pub first_revision: u64,
}

impl View {
    /// Whether the deployment has workspaces, as far as is known.
    pub fn has_workspaces(&self) -> bool {
        let routes = self.routes.as_ref();
        routes.is_some_and(|routes| routes.keys.is_some())
    }

    /// Returns the leader if its epoch is later than `epoch`.
    pub fn newer_leader(&self, epoch: u64) -> Option<&LeaderObject> {
        let leader = self.leader.as_ref().map(|(leader, _)| leader);
        leader.filter(|leader| leader.epoch > epoch)
    }
}
