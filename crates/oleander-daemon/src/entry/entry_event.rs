//! What the control thread of an entry reacts to.

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
    /// A message of another process that is not for one request.
    Frame(Box<wire::Frame>),
    /// A message that was dropped.
    FrameRefused(LinkError),
    /// A connection came or went.
    Peer(PeerChange),
    /// A request needs an endpoint.
    Choose(ChooseCall),
    /// A request must go to one incarnation.
    Locate(LocateCall),
    /// An attempt made progress.
    Progress(RouteProgress),
    /// An attempt was not sent, or it ended.
    Ended(RouteEnd),
    /// The platform's list was read.
    Listed(Vec<ListedInstance>),
    /// All configuration objects of the store.
    StoreListing(ObjectList),
    /// Configuration objects that changed in the store.
    StoreChanges(ObjectList),
    /// Someone asks which contract covers a class or service.
    Terms(TermsCall),
    /// Someone asks for the fleet.
    Describe(Sender<FleetSummary>),
    /// The process was told to stop.
    Stop,
}

/// A request for an endpoint.
#[derive(Debug)]
pub struct ChooseCall {
    /// Model or service.
    pub target: Bytes,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// When the caller is answered at the latest.
    pub deadline: Millis,
    /// Who waits for the work.
    pub kind: WorkKind,
    /// Class of the contract.
    pub class: String,
    /// Endpoints that earlier attempts have used.
    pub excluded: Vec<EndpointKey>,
    /// Version that a sample should have at least.
    pub min_version: Option<Version>,
    /// How the attempt before failed; `None` for the first one.
    pub previous_failure: Option<PreviousFailure>,
    /// Gets the route, or why there is none.
    pub reply: Sender<Result<Route, NoRoute>>,
}

/// A failed attempt of a request that may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousFailure {
    /// Why it failed.
    pub error: ErrorKind,
    /// Attempts so far.
    pub attempts: u32,
    /// Time to come back that the agent named.
    pub retry_after: Millis,
}

/// A request for the way to one incarnation.
#[derive(Debug)]
pub struct LocateCall {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Name of its agent.
    pub agent: String,
    /// When it was asked for.
    pub asked_at: Millis,
    /// Gets the way, or `None` when the incarnation can't be reached.
    pub reply: Sender<Option<Route>>,
}

/// Why there is no endpoint, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoute {
    /// The reason.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry_after: Millis,
}

/// The way to one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The endpoint in the entry's arena.
    pub key: EndpointKey,
    /// Name of the agent's instance.
    pub name: String,
    /// Link address of the agent.
    pub link: String,
    /// The incarnation that may run the attempt.
    pub incarnation: Incarnation,
    /// The agent's clock.
    pub clock: AgentClock,
}

/// Progress of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteProgress {
    /// The endpoint.
    pub key: EndpointKey,
    /// Time since the progress before.
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
    /// Load that came with the answer.
    pub load: Option<Load>,
    /// Time from the last reported progress, or the first word, to the end.
    pub elapsed: Millis,
    /// Tokens made in that time, 1 for a plain call; 0 teaches nothing.
    pub units: u64,
}

/// A question for the terms of a class or service.
#[derive(Debug)]
pub struct TermsCall {
    /// Class named by the caller.
    pub class: Option<String>,
    /// Plain service that is called.
    pub service: Option<String>,
    /// Gets the terms.
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
    /// Whether the entry has heard its agents.
    pub settled: bool,
    /// Configuration objects in force.
    pub config: Vec<ConfigSummary>,
    /// The agents that the entry uses.
    pub agents: Vec<AgentView>,
    /// The other entries.
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
    /// What the entry thinks of it.
    pub state: String,
    /// Incarnation, if it was ever heard.
    pub incarnation: Option<String>,
    /// Weight version, if known.
    pub version: Option<u64>,
    /// Attempts of this entry in flight there.
    pub in_flight: u32,
    /// Digest of the configuration in force there.
    pub config_digest: String,
}

/// Another entry as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Name of the instance.
    pub name: String,
    /// Digest of the configuration in force there, if heard.
    pub config_digest: Option<String>,
}
