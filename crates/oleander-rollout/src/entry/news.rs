//! Hears of endpoints from the leading dispatcher, and looks itself while that can't tell.
//!
//! The entries of the list change with each load of weights, which entries need not know; a watch
//! of the list in each entry would be called again for each.

use super::entry_process::Entry;
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{KnownVersions, PLATFORM_UPDATES, PlatformUpdate};
use crate::prelude::*;
use crate::store::platform_update::apply_platform_update;
use http::{Method, StatusCode};
use std::rc::Rc;

/// Longest wait for news.
const NEWS_LIMIT: Millis = Millis(3000);
/// Pause after the leader did not answer.
const RETRY_PAUSE: Millis = Millis(200);
/// Longest wait for a dispatcher that is asked who leads.
const ASK_LIMIT: Millis = Millis(300);

/// Hears news until the process ends.
pub async fn run(entry: Rc<Entry>) {
    let mut endpoints_digest = 0;
    loop {
        match hear(&entry, endpoints_digest).await {
            Ok(news) => {
                if entry.own_list.is_open() {
                    event(log::Level::Info, "leader-regained", String::new);
                    entry.own_list.set(false);
                }
                endpoints_digest =
                    apply_platform_update(&entry.view, news).unwrap_or(endpoints_digest);
            }
            Err(fault) => {
                if !entry.own_list.is_open() {
                    event(log::Level::Warn, "leader-lost", || {
                        format!("reason=\"{fault}\"")
                    });
                    // The leader may be lost with the store, whose list may have lapsed.
                    entry.health.record_failure();
                    entry.own_list.set(true);
                }
                endpoints_digest = 0;
                sleep(RETRY_PAUSE).await;
                entry.leader_client.ask_for_leader(ASK_LIMIT).await;
            }
        }
    }
}

async fn hear(entry: &Entry, endpoints_digest: u64) -> Result<PlatformUpdate, LeaderError> {
    let fault = |reason: String| LeaderError::NoAnswer { reason };
    let view = entry.view.get();
    let known = KnownVersions {
        config_version: view
            .routes
            .as_ref()
            .map_or(0, |routes| routes.config.version),
        endpoints_digest,
    };
    let body = serde_json::to_vec(&known).map_err(|bad| fault(bad.to_string()))?;
    let (status, body) = entry
        .leader_client
        .call(Method::POST, PLATFORM_UPDATES, body, NEWS_LIMIT)
        .await?;
    if status != StatusCode::OK {
        return Err(fault(status.to_string()));
    }
    serde_json::from_slice(&body).map_err(|bad| fault(bad.to_string()))
}
