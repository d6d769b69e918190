//! A request for the route to one incarnation.

use crate::entry::route::Route;
use crate::prelude::*;
use async_channel::Sender;

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
