//! Applies platform updates that the leader sends to entries and agents.

use super::applied_update::AppliedUpdate;
use super::confirmation::time_of;
use super::endpoint_freshness::EndpointFreshness;
use super::follow::adopt_config;
use super::shared_view::SharedView;
use crate::peer::messages::PlatformUpdate;
use crate::prelude::*;
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::route_table::RouteTable;
use std::sync::Arc;

/// Length of a message from which it is applied on another thread, in bytes. A message with 10,000
/// keys is about 0.7 MB and takes some milliseconds, for which the thread would serve nobody.
const LARGE_MESSAGE_BYTES: usize = 32 << 10;

/// Decodes the message of a dispatcher, the response to a call sent at `sent_at`, and applies the update
/// in it to the view.
///
/// # Errors
///
/// The error of decoding the message.
pub async fn apply_message(
    view: &SharedView,
    freshness: &EndpointFreshness,
    (sent_at, body): (Millis, Bytes),
) -> serde_json::Result<AppliedUpdate> {
    let (view, freshness) = (view.clone(), freshness.clone());
    let body_is_large = body.len() > LARGE_MESSAGE_BYTES;
    let apply = move || {
        let update: PlatformUpdate = serde_json::from_slice(&body)?;
        Ok(apply_platform_update(&view, &freshness, (sent_at, update)))
    };
    if body_is_large {
        smol::unblock(apply).await
    } else {
        apply()
    }
}

/// Applies an update, which is the response to a call sent at `sent_at`, to the view. Endpoints that are
/// too old are not applied if those of the view are newer: a leader that has lost the store still has its
/// old ones.
pub fn apply_platform_update(
    view: &SharedView,
    freshness: &EndpointFreshness,
    (sent_at, update): (Millis, PlatformUpdate),
) -> AppliedUpdate {
    let mut applied = AppliedUpdate {
        endpoints_digest: None,
        config_confirmed_ms: update.config_confirmed_ms,
        endpoints_confirmed_ms: update.endpoints_confirmed_ms,
    };
    if let Some(config) = update.config {
        adopt_config(view, RouteTable::new(config));
    }
    if let Some(full) = update.jobs_full {
        event(log::Level::Info, "jobs-full", || format!("full={full}"));
        view.update(|view| view.jobs_full = full);
    }
    if let Some(rank) = update.caller_rank {
        event(log::Level::Info, "caller-rank", || {
            let CallerRank {
                entries,
                agents,
                index,
            } = rank;
            format!("entries={entries} agents={agents} index={index}")
        });
        view.update(|view| view.caller_rank = Some(rank));
    }
    let Some((entries, digest)) = update.endpoints else {
        return applied;
    };
    let confirmed_at = update
        .endpoints_confirmed_ms
        .map(|offset| time_of(sent_at, offset));
    if !freshness.takes(confirmed_at) {
        event(log::Level::Info, "endpoints-outdated", || {
            format!("endpoints={} digest={digest:016x}", entries.len())
        });
        return applied;
    }
    event(log::Level::Info, "endpoints-told", || {
        format!("endpoints={} digest={digest:016x}", entries.len())
    });
    if let Some(at) = confirmed_at {
        freshness.confirmation.replace(at);
    }
    view.update(|view| {
        view.endpoints = Arc::new(EndpointTable::from_entries(entries));
        view.endpoints_known = true;
        view.endpoints_told = true;
    });
    applied.endpoints_digest = Some(digest);
    applied
}
