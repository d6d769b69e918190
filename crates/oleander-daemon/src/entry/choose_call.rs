//! A request for an endpoint.

use crate::entry::no_route::NoRoute;
use crate::entry::previous_failure::PreviousFailure;
use crate::entry::route::Route;
use crate::prelude::*;
use async_channel::Sender;
use bytes::Bytes;
use oleanderlock::endpoint::EndpointKey;

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
