//! The state of a call when an attempt has failed.

use super::route_kind::RouteKind;
use crate::prelude::*;

/// The state of a call when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Endpoints that the call was sent to.
    pub attempts_made: u32,
    /// Most endpoints that it may be sent to.
    pub attempts_max: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// Time left until the caller or the route gives up.
    pub time_left: Millis,
    /// Whether an endpoint that was not tried is known.
    pub has_candidate: bool,
}
