//! Configuration and endpoints that the leader passes on to agents and entries, so that these need
//! no watches of their own on the store.

use super::dispatcher::Dispatcher;
use super::state::State;
use crate::peer::messages::{KnownVersions, PlatformUpdate};
use crate::prelude::*;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::endpoint_entry::EndpointEntry;

/// Open jobs take at most the memory of the process divided by this, and the jobs that are accepted before
/// the entries know that the limit is reached.
const JOBS_MEMORY_DIVISOR: usize = 4;
/// Memory of open jobs that is used in any case, in bytes.
const JOBS_MIN_BYTES: usize = 1 << 20;

/// Takes configuration, endpoints and the memory of the open jobs; returns whether agents need an update.
pub fn refresh(dispatcher: &Dispatcher, state: &mut State) -> bool {
    let view = dispatcher.view.get();
    let config_version = view
        .routes
        .as_ref()
        .map_or(0, |routes| routes.config.version);
    let room_changed = refresh_room(dispatcher, state);
    let config_changed = config_version != state.published_config_version;
    state.published_config_version = config_version;
    let endpoints_changed = view.endpoints_known && state.endpoints.update(&view.endpoints);
    config_changed || endpoints_changed || room_changed
}

/// Compares the memory of the open jobs with their budget; returns whether the answer has changed.
fn refresh_room(dispatcher: &Dispatcher, state: &mut State) -> bool {
    let open = state.scheduler.open_bytes();
    let budget = (dispatcher.cfg.memory_bytes / JOBS_MEMORY_DIVISOR).max(JOBS_MIN_BYTES);
    let full = state.leading_epoch().is_some() && open >= budget;
    if full == state.jobs_full {
        return false;
    }
    state.jobs_full = full;
    event(log::Level::Warn, "jobs-full", || {
        format!("full={full} open={open} budget={budget}")
    });
    true
}

/// Brings the endpoints that are sent up to date; returns when they were current, in milliseconds after
/// the arrival of a call at `arrived`, or `None` if that is not known.
fn confirm_endpoints(dispatcher: &Dispatcher, state: &mut State, arrived: Millis) -> Option<i64> {
    // Taken before the endpoints, so that it is not about newer ones.
    let confirmed = dispatcher.freshness.confirmation.relative_to(arrived);
    if refresh(dispatcher, state) {
        dispatcher.notify();
    }
    confirmed.filter(|_| dispatcher.view.get().endpoints_known)
}

/// Returns the configuration and endpoints that have changed since an agent's last report, which
/// arrived at `arrived`.
///
/// The endpoints are the agent's own engine and all endpoints of other services, which its items
/// may call. The other engines of its own service are left out: an agent runs items on its own
/// engine only.
pub fn for_agent(
    dispatcher: &Dispatcher,
    state: &mut State,
    report: &AgentReport,
    (known_rank, arrived): (Option<CallerRank>, Millis),
) -> PlatformUpdate {
    let confirmed = confirm_endpoints(dispatcher, state, arrived);
    let rank = state.callers.rank_of_agent(&report.agent, now());
    let known = KnownVersions {
        config_version: report.config_version,
        endpoints_digest: report.endpoints_digest,
        node: report.agent.clone(),
        caller_rank: known_rank,
        jobs_full: None,
    };
    let needed = |entry: &EndpointEntry| {
        Some(entry.addr) == report.engine || Some(&entry.service) != report.service.as_ref()
    };
    let mut update = newer_than(dispatcher, state, &known, rank, needed);
    if let Some(config) = &mut update.config {
        config.remove_keys();
    }
    update.endpoints_confirmed_ms = confirmed;
    update
}

/// Returns the configuration and endpoints that have changed since the versions that an entry has,
/// for a call that arrived at `arrived`.
pub fn for_entry(
    dispatcher: &Dispatcher,
    state: &mut State,
    known: &KnownVersions,
    arrived: Millis,
) -> PlatformUpdate {
    let endpoints_confirmed = confirm_endpoints(dispatcher, state, arrived);
    let rank = state.callers.rank_of_entry(&known.node, now());
    // Taken before the configuration, so that it is not about a newer one.
    let confirmed = dispatcher.config_reader.confirmation().relative_to(arrived);
    PlatformUpdate {
        config_confirmed_ms: confirmed,
        endpoints_confirmed_ms: endpoints_confirmed,
        ..newer_than(dispatcher, state, known, rank, |_| true)
    }
}

fn newer_than(
    dispatcher: &Dispatcher,
    state: &State,
    known: &KnownVersions,
    rank: Option<CallerRank>,
    needed: impl Fn(&EndpointEntry) -> bool,
) -> PlatformUpdate {
    let view = dispatcher.view.get();
    let routes = view.routes.as_ref();
    let config = routes.filter(|routes| routes.config.version > known.config_version);
    let current = &state.endpoints;
    let changed = current.digest != 0 && current.digest != known.endpoints_digest;
    let endpoints = changed.then(|| {
        let entries = current.entries.iter().filter(|entry| needed(entry));
        (entries.cloned().collect(), current.digest)
    });
    PlatformUpdate {
        config: config.map(|routes| routes.config.clone()),
        endpoints,
        caller_rank: rank.filter(|rank| Some(*rank) != known.caller_rank),
        config_confirmed_ms: None,
        endpoints_confirmed_ms: None,
        jobs_full: known
            .jobs_full
            .filter(|known| *known != state.jobs_full)
            .map(|_| state.jobs_full),
    }
}
