//! Events for the control thread of an entry, with the requests and replies that they carry.

use crate::prelude::*;
use crate::store::listed_instance::ListedInstance;
use crate::store::object_list::ObjectList;
use async_channel::Sender;
use bytes::Bytes;
use oleanderlock::agent_clock::AgentClock;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::contract::Contract;
use oleanderlock::endpoint::EndpointKey;
use oleanderlock::load::Load;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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

/// A request for an endpoint.
#[derive(Debug)]
pub struct ChooseCall {
    /// Model or service.
    pub target: Bytes,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Latest time of the answer to the caller.
    pub deadline: Millis,
    /// Interactive work, or a sample of a training step.
    pub kind: WorkKind,
    /// Class of the contract.
    pub class: String,
    /// Endpoints to avoid, such as those of earlier attempts; used again if no other takes work.
    pub excluded: Vec<EndpointKey>,
    /// Version that a sample should have at least.
    pub min_version: Option<Version>,
    /// How the attempt before this one failed; `None` for the first one.
    pub previous_failure: Option<PreviousFailure>,
    /// Gets the route, or why there is none.
    pub reply: Sender<Result<Route, NoRoute>>,
}

/// A failed attempt of a request that may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousFailure {
    /// The error of the attempt.
    pub error: ErrorKind,
    /// Attempts so far.
    pub attempts: u32,
    /// Time after which the agent expects to accept the work; zero if not given.
    pub retry_after: Millis,
}

/// A request for the route to one incarnation.
#[derive(Debug)]
pub struct LocateCall {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Name of its agent.
    pub agent: String,
    /// When the request was made.
    pub asked_at: Millis,
    /// Gets the route, or `None` when the incarnation can't be reached.
    pub reply: Sender<Option<Route>>,
}

/// Why there is no endpoint, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoute {
    /// The error for the caller.
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after: Millis,
}

/// The route to one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The endpoint in the entry's endpoint choice.
    pub key: EndpointKey,
    /// Name of the agent's instance.
    pub name: String,
    /// Link address of the agent.
    pub link: String,
    /// The incarnation that may run the attempt.
    pub incarnation: Incarnation,
    /// Converts times of the entry to the agent's clock.
    pub clock: AgentClock,
}

/// Progress of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteProgress {
    /// The endpoint.
    pub key: EndpointKey,
    /// Time since the progress that was last reported.
    pub elapsed: Millis,
    /// Tokens made in that time.
    pub units: u64,
}

/// The end of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEnd {
    /// The endpoint.
    pub key: EndpointKey,
    /// How it ended.
    pub end: AttemptEnd,
    /// Load that the agent sent with the answer.
    pub load: Option<Load>,
    /// Time from the last reported progress, or else from the first chunk, to the end.
    pub elapsed: Millis,
    /// Tokens made in that time, 1 for a plain call; with 0 the pace is not recorded.
    pub units: u64,
}

/// A request for the terms of a class or service; without either, of the default class.
#[derive(Debug)]
pub struct TermsCall {
    /// Class named by the caller.
    pub class: Option<String>,
    /// Plain service that is called.
    pub service: Option<String>,
    /// Gets the terms, or `None` when no contract covers the call.
    pub reply: Sender<Option<Terms>>,
}

/// The class under which a request is admitted, with its contract.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Name of the class.
    pub class: String,
    /// The contract.
    pub contract: Arc<Contract>,
}

/// The fleet as one entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Name of the entry.
    pub entry: String,
    /// Digest of the configuration in force at the entry.
    pub config_digest: String,
    /// Whether all agents in use have reported, or the wait for them is over.
    pub settled: bool,
    /// Configuration objects in force.
    pub config: Vec<ConfigSummary>,
    /// The agents that the entry uses.
    pub agents: Vec<AgentView>,
    /// The other entries of the platform's list.
    pub entries: Vec<EntryView>,
}

/// One configuration object in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// Name of the object.
    pub name: String,
    /// Generation in force.
    pub generation: u64,
}

/// An agent as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AgentView {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Link address.
    pub link: String,
    /// Its state as this entry sees it: `unheard`, `ejected`, or the name of a state of the
    /// endpoint or of membership.
    pub state: String,
    /// Incarnation, if it has reported.
    pub incarnation: Option<String>,
    /// Weight version, if known.
    pub version: Option<u64>,
    /// Attempts of this entry in flight there.
    pub in_flight: u32,
    /// Digest of the configuration in force there; empty before its first report.
    pub config_digest: String,
}

/// Another entry as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Name of the instance.
    pub name: String,
    /// Digest of the configuration in force there, if it has sent one.
    pub config_digest: Option<String>,
}
