//! Receives configuration and endpoints from the leading dispatcher.
//!
//! While no leader responds, the entry watches the list of endpoints in the store itself.

use super::entry_process::Entry;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{KnownVersions, PLATFORM_UPDATES};
use crate::prelude::*;
use crate::store::applied_update::AppliedUpdate;
use crate::store::platform_update::apply_message;
use futures_util::future::{Either, select};
use http::{Method, StatusCode};
use std::pin::pin;
use std::rc::Rc;

/// Timeout of a call that waits for an update.
const UPDATE_TIMEOUT: Millis = Millis(3000);
/// Pause after the leader did not respond.
const RETRY_PAUSE: Millis = Millis(200);
/// Timeout of asking the dispatchers for the leader.
const ASK_TIMEOUT: Millis = Millis(300);

/// Receives updates until the process ends.
pub async fn run(entry: Rc<Entry>) {
    let mut lost = true;
    loop {
        let sent_at = now();
        match next_update(&entry).await {
            Ok(update) => {
                let from_leader = entry.endpoint_source.update(sent_at, &update);
                if lost && from_leader {
                    event(log::Level::Info, "leader-regained", String::new);
                    lost = false;
                }
                if !from_leader {
                    // It would answer the next call at once, with the same endpoints.
                    sleep(RETRY_PAUSE).await;
                }
                if let Some(offset) = update.config_confirmed_ms {
                    entry.confirmation.record_relative(sent_at, offset);
                }
            }
            Err(error) => {
                if !lost {
                    event(log::Level::Warn, "leader-lost", || {
                        format!("reason=\"{error}\"")
                    });
                    lost = true;
                }
                // The next leader says it again, if it has no memory for more jobs.
                if entry.view.get().jobs_full {
                    entry.view.update(|view| view.jobs_full = false);
                }
                entry.endpoint_source.read_list();
                sleep(RETRY_PAUSE).await;
                entry.leader_client.ask_for_leader(ASK_TIMEOUT, None).await;
            }
        }
    }
}

/// Waits for an update from the leader and applies it. Gives up when there is another leader, since the
/// one that was asked may have lost the store.
async fn next_update(entry: &Entry) -> Result<AppliedUpdate, LeaderError> {
    let leader = entry.leader_client.leader();
    let replaced = entry
        .view
        .wait_until(UPDATE_TIMEOUT, |_| entry.leader_client.leader() != leader);
    match select(pin!(ask_for_update(entry)), pin!(replaced)).await {
        Either::Left((update, _)) => update,
        Either::Right(_) => Err(LeaderError::NotLeading),
    }
}

async fn ask_for_update(entry: &Entry) -> Result<AppliedUpdate, LeaderError> {
    let no_answer = |reason: String| LeaderError::NoAnswer { reason };
    let sent_at = now();
    let view = entry.view.get();
    let known = KnownVersions {
        config_version: view
            .routes
            .as_ref()
            .map_or(0, |routes| routes.config.version),
        endpoints_digest: entry.endpoint_source.digest(),
        node: entry.cfg.node.clone(),
        caller_rank: view.caller_rank,
        jobs_full: Some(view.jobs_full),
    };
    let body = serde_json::to_vec(&known).map_err(|error| no_answer(error.to_string()))?;
    let (status, body) = entry
        .leader_client
        .call(Method::POST, PLATFORM_UPDATES, body, UPDATE_TIMEOUT)
        .await?;
    if status != StatusCode::OK {
        return Err(no_answer(status.to_string()));
    }
    let freshness = entry.endpoint_source.freshness();
    let applied = apply_message(&entry.view, freshness, (sent_at, body)).await;
    applied.map_err(|error| no_answer(error.to_string()))
}
