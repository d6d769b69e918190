//! Keeps the configuration of an entry confirmed while its keys depend on it.
//!
//! The leading dispatcher confirms the configuration once a second. While it does not, the entry
//! reads the store itself and asks the dispatchers, because the store may refuse some instances and
//! the leader may be among them.

use crate::peer::leader_client::LeaderClient;
use crate::peer::messages::{CONFIG_CHECK, KnownVersions};
use crate::prelude::*;
use crate::store::config_reader::ConfigReader;
use crate::store::endpoint_freshness::EndpointFreshness;
use crate::store::platform_update::apply_message;
use crate::store::shared_view::SharedView;
use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;

/// Tenths of the time within which a change must be in force after which the entry asks. The rest
/// is for the answer, which may be a second old.
const MAX_AGE_TENTHS: u64 = 6;
/// Timeout of asking a dispatcher: time for two attempts at the store.
const ASK_TIMEOUT: Millis = Millis(1000);
/// Pause after nobody could confirm the configuration.
const RETRY_PAUSE: Millis = Millis(200);
/// Shortest pause between two checks of the age of the confirmation.
const CHECK_PAUSE: Millis = Millis(20);

/// Keeps the configuration of an entry confirmed.
#[derive(Debug)]
pub struct ConfigGuard {
    view: SharedView,
    client: Rc<LeaderClient>,
    reader: Rc<ConfigReader>,
    freshness: EndpointFreshness,
    max_age: Millis,
}

impl ConfigGuard {
    /// Returns a guard for an entry in which a change must be in force within `config_within`.
    pub fn new(
        view: SharedView,
        client: Rc<LeaderClient>,
        reader: Rc<ConfigReader>,
        freshness: EndpointFreshness,
        config_within: Millis,
    ) -> Self {
        Self {
            view,
            client,
            reader,
            freshness,
            max_age: Millis(config_within.0 * MAX_AGE_TENTHS / 10),
        }
    }

    /// Keeps the configuration confirmed until the process ends; does nothing while there are no
    /// workspaces.
    pub async fn run(self) {
        let mut failing = false;
        loop {
            let listener = self.view.listen();
            if !self.view.get().has_workspaces() {
                listener.await;
                continue;
            }
            let age = self.reader.confirmation().age();
            if age < self.max_age {
                sleep(self.max_age.since(age).max(CHECK_PAUSE)).await;
                continue;
            }
            let confirmed = self.ask().await;
            if confirmed == failing {
                log(confirmed, age);
                failing = !confirmed;
            }
            if !confirmed {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads the store and asks the dispatchers, until one of them confirms the configuration;
    /// returns whether one did.
    async fn ask(&self) -> bool {
        let mut asked: FuturesUnordered<LocalBoxFuture<'_, ()>> = FuturesUnordered::new();
        asked.push(Box::pin(self.reader.refresh()));
        for addr in self.client.dispatchers() {
            asked.push(Box::pin(self.ask_dispatcher(addr)));
        }
        while asked.next().await.is_some() {
            if self.reader.confirmation().age() < self.max_age {
                return true;
            }
        }
        false
    }

    async fn ask_dispatcher(&self, addr: SocketAddr) {
        let routes = self.view.get().routes.clone();
        let known = KnownVersions {
            config_version: routes.map_or(0, |routes| routes.config.version),
            ..KnownVersions::default()
        };
        let Ok(body) = serde_json::to_vec(&known) else {
            return;
        };
        let sent_at = now();
        let call = self
            .client
            .call_at(addr, Method::POST, CONFIG_CHECK, body, ASK_TIMEOUT);
        // The caller logs that nobody could confirm the configuration.
        let Ok((StatusCode::OK, body)) = call.await else {
            return;
        };
        let message = (sent_at, body);
        match apply_message(&self.view, &self.freshness, message).await {
            Ok(update) => {
                if let Some(offset) = update.config_confirmed_ms {
                    let confirmation = self.reader.confirmation();
                    confirmation.record_relative(sent_at, offset);
                }
            }
            Err(error) => event(log::Level::Error, "message-unreadable", || {
                format!("reason=\"{error}\"")
            }),
        }
    }
}

fn log(confirmed: bool, age: Millis) {
    if confirmed {
        event(log::Level::Info, "config-confirmed-again", String::new);
    } else {
        event(log::Level::Warn, "config-unconfirmed", || {
            let age = match age {
                Millis::MAX => "never".to_owned(),
                age => age.to_string(),
            };
            format!("last={age}")
        });
    }
}
