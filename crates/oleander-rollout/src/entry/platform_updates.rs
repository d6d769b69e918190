//! Receives configuration and endpoints from the leading dispatcher.
//!
//! While no leader responds, the entry watches the list of endpoints in the store itself. It
//! doesn't always do so, because each weight load changes the list, which would wake the watch of
//! every entry although entries don't need to know of loads.

use super::entry_process::Entry;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{KnownVersions, PLATFORM_UPDATES};
use crate::prelude::*;
use crate::store::applied_update::AppliedUpdate;
use crate::store::platform_update::apply_message;
use http::{Method, StatusCode};
use std::rc::Rc;

/// Timeout of a call that waits for an update.
const UPDATE_TIMEOUT: Millis = Millis(3000);
/// Pause after the leader did not respond.
const RETRY_PAUSE: Millis = Millis(200);
/// Timeout of asking the dispatchers for the leader.
const ASK_TIMEOUT: Millis = Millis(300);

/// Receives updates until the process ends.
pub async fn run(entry: Rc<Entry>) {
    let mut endpoints_digest = 0;
    loop {
        let sent_at = now();
        match next_update(&entry, endpoints_digest).await {
            Ok(update) => {
                if entry.own_watch.is_open() {
                    event(log::Level::Info, "leader-regained", String::new);
                    entry.own_watch.set(false);
                }
                endpoints_digest = update.endpoints_digest.unwrap_or(endpoints_digest);
                entry.endpoint_source.update(sent_at, &update);
                if let Some(offset) = update.config_confirmed_ms {
                    entry.confirmation.record_relative(sent_at, offset);
                }
            }
            Err(error) => {
                if !entry.own_watch.is_open() {
                    event(log::Level::Warn, "leader-lost", || {
                        format!("reason=\"{error}\"")
                    });
                    // The leader may be unreachable because the store is: endpoints that expired
                    // from the list of the store meanwhile must be kept.
                    entry.health.record_failure();
                    entry.own_watch.set(true);
                }
                endpoints_digest = 0;
                sleep(RETRY_PAUSE).await;
                entry.leader_client.ask_for_leader(ASK_TIMEOUT).await;
            }
        }
    }
}

/// Waits for an update from the leader and applies it.
async fn next_update(entry: &Entry, endpoints_digest: u64) -> Result<AppliedUpdate, LeaderError> {
    let no_answer = |reason: String| LeaderError::NoAnswer { reason };
    let view = entry.view.get();
    let known = KnownVersions {
        config_version: view
            .routes
            .as_ref()
            .map_or(0, |routes| routes.config.version),
        endpoints_digest,
        node: entry.cfg.node.clone(),
        caller_rank: view.caller_rank,
    };
    let body = serde_json::to_vec(&known).map_err(|error| no_answer(error.to_string()))?;
    let (status, body) = entry
        .leader_client
        .call(Method::POST, PLATFORM_UPDATES, body, UPDATE_TIMEOUT)
        .await?;
    if status != StatusCode::OK {
        return Err(no_answer(status.to_string()));
    }
    let applied = apply_message(&entry.view, body).await;
    applied.map_err(|error| no_answer(error.to_string()))
}
