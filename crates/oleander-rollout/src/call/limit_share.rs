//! How the rate limit of an endpoint is divided between the processes that call it.

use super::caller_identity::CallerIdentity;
use super::caller_role::CallerRole;
use crate::store::view::View;
use oleanderlock::routing::caller_share::CallerShare;
use oleanderlock::routing::route_kind::RouteKind;

/// Percentage of an engine's rate limit for calls, if its agent runs items on it too.
const CALLS_PERCENT: u32 = 50;

/// Returns the share of a process in the rate limits of a service's endpoints, for its calls and
/// streams.
pub fn share_of_calls(view: &View, identity: &CallerIdentity, service: &str) -> CallerShare {
    let scores = leads_to(view, service, |kind| {
        matches!(kind, RouteKind::Safe | RouteKind::Unsafe)
    });
    let share = match (view.caller_rank, identity.role) {
        (None, _) => CallerShare::unknown(&identity.node),
        (Some(rank), CallerRole::Entry) => rank.share_of_entry(scores),
        (Some(rank), CallerRole::Agent) => rank.share_of_agent(),
    };
    if leads_to(view, service, |kind| kind == RouteKind::Rollout) {
        share.of_percent(CALLS_PERCENT)
    } else {
        share
    }
}

/// Returns the share of an agent in the rate limit of its engine, which belongs to a service.
pub fn share_of_agent(view: &View, service: &str) -> CallerShare {
    if leads_to(view, service, |kind| kind != RouteKind::Rollout) {
        CallerShare::sole().of_percent(100 - CALLS_PERCENT)
    } else {
        CallerShare::sole()
    }
}

/// Whether a route of a kind for which `of_kind` holds leads to a service.
fn leads_to(view: &View, service: &str, of_kind: impl Fn(RouteKind) -> bool) -> bool {
    let routes = view.routes.as_ref();
    routes.is_some_and(|routes| routes.leads_to(service, of_kind))
}
