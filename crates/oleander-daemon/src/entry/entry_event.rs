//! Events for the control thread of an entry.

use crate::entry::choose_call::ChooseCall;
use crate::entry::fleet_summary::FleetSummary;
use crate::entry::locate_call::LocateCall;
use crate::entry::route_end::RouteEnd;
use crate::entry::route_progress::RouteProgress;
use crate::entry::terms_call::TermsCall;
use crate::prelude::*;
use crate::store::listed_instance::ListedInstance;
use crate::store::object_list::ObjectList;
use async_channel::Sender;

/// One event for the control thread of an entry.
#[derive(Debug)]
pub enum EntryEvent {
    /// A message of another process that is not part of one request.
    Frame(Box<wire::Frame>),
    /// A message was dropped because it could not be authenticated or decoded.
    FrameRefused(LinkError),
    /// A connection was made or lost.
    Peer(PeerChange),
    /// A request needs an endpoint.
    Choose(ChooseCall),
    /// A request must go to one incarnation.
    Locate(LocateCall),
    /// An attempt made progress.
    Progress(RouteProgress),
    /// An attempt ended, or was not sent.
    Ended(RouteEnd),
    /// The platform's list was read.
    Listed(Vec<ListedInstance>),
    /// The configuration objects of the store were listed.
    StoreListing(ObjectList),
    /// Configuration objects have changed in the store.
    StoreChanges(ObjectList),
    /// A call needs the contract that covers its class or service.
    Terms(TermsCall),
    /// An operator or a readiness check requests the state of the fleet.
    Describe(Sender<FleetSummary>),
    /// The process must stop gracefully, or at once if the event comes a second time.
    Stop,
}
