//! Reads the configuration from the store, to confirm that the one in force is the newest.
//!
//! A watch does not show that it works: its connection may have gone silent, or the store may refuse
//! new calls of this process while a watch waits.

use super::changes::read_changes;
use super::confirmation::Confirmation;
use super::follow::apply_config_objects;
use super::shared_view::SharedView;
use super::store_client::StoreClient;
use super::store_error::StoreError;
use super::store_health::StoreHealth;
use crate::prelude::*;
use oleander_platform::object::CONFIG_KIND;
use smol::lock::Mutex;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Shortest time from the start of one reading to the start of the next.
const READ_INTERVAL: Millis = Millis::from_secs(1);
/// Timeout of one attempt. A slow store takes 0.3 s; a silent connection must leave time for another
/// attempt within the time in which a change must be in force.
const READ_TIMEOUT: Millis = Millis(600);
/// Attempts of one reading: the kept connection may have gone silent.
const ATTEMPTS: usize = 2;

/// Reads the configuration from the store, at most once a second.
#[derive(Debug)]
pub struct ConfigReader {
    store: Rc<StoreClient>,
    view: SharedView,
    confirmation: Confirmation,
    /// Revision of the store up to which changes were read; `None` before the first reading.
    revision: Cell<Option<u64>>,
    /// Start of the last reading that ended; one whose caller has left is cancelled and does not.
    tried_at: Cell<Option<Millis>>,
    failing: Cell<bool>,
    /// Held during a reading; others wait for its result.
    reading: Mutex<()>,
}

impl ConfigReader {
    /// Returns a reader that puts configurations into force in `view` and records in `confirmation`
    /// when they were the newest. It has a connection of its own.
    pub fn new(store: SocketAddr, view: SharedView, confirmation: Confirmation) -> Rc<Self> {
        Rc::new(Self {
            store: StoreClient::new(store, StoreHealth::default()),
            view,
            confirmation,
            revision: Cell::default(),
            tried_at: Cell::default(),
            failing: Cell::default(),
            reading: Mutex::default(),
        })
    }

    /// Returns when the configuration in force was last known to be the newest.
    pub fn confirmation(&self) -> &Confirmation {
        &self.confirmation
    }

    /// Reads the configuration, unless a reading that has ended began less than a second ago.
    pub async fn refresh(&self) {
        let reading = self.reading.lock().await;
        let tried_at = self.tried_at.get();
        if tried_at.is_none_or(|at| now().since(at) >= READ_INTERVAL) {
            self.attempt().await;
        }
        drop(reading);
    }

    /// Reads the configuration, also if a reading began less than a second ago; returns whether it was
    /// read.
    pub async fn read_now(&self) -> bool {
        let reading = self.reading.lock().await;
        let is_read = self.attempt().await;
        drop(reading);
        is_read
    }

    async fn attempt(&self) -> bool {
        let tried_at = now();
        let mut result = Ok(());
        for _ in 0..ATTEMPTS {
            let started_at = now();
            let read = within(READ_TIMEOUT, self.read()).await;
            result = read.unwrap_or_else(|| Err(StoreError::no_answer("timeout")));
            match &result {
                Ok(()) => {
                    self.confirmation.record(started_at);
                    break;
                }
                Err(StoreError::HistoryGone) => self.revision.set(None),
                Err(_) => {}
            }
        }
        self.tried_at.set(Some(tried_at));
        let is_read = result.is_ok();
        self.log(result.err());
        is_read
    }

    /// Reads what has changed since the last reading, or the whole configuration.
    async fn read(&self) -> Result<(), StoreError> {
        // A configuration stays in force until there is a newer one, also if it is deleted.
        let from = self.revision.get();
        let (objects, revision) = read_changes(&self.store, CONFIG_KIND, from).await?;
        if !objects.is_empty() {
            // Decoding 10,000 keys takes some milliseconds, for which this thread would serve nobody.
            let view = self.view.clone();
            smol::unblock(move || apply_config_objects(&view, objects)).await;
        }
        self.revision.set(Some(revision));
        Ok(())
    }

    /// Logs the first of several failures, and their end.
    fn log(&self, error: Option<StoreError>) {
        let failed = error.is_some();
        if self.failing.replace(failed) == failed {
            return;
        }
        match error {
            Some(error) => event(log::Level::Warn, "config-not-read", || {
                format!("reason=\"{error}\"")
            }),
            None => event(log::Level::Info, "config-read-again", String::new),
        }
    }
}
