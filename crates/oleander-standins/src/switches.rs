//! Fault switches that can be read and changed while a stand-in runs.

use crate::reply;
use crate::server::StopFlag;
use parking_lot::{Mutex, MutexGuard};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;
use trillium::Conn;

const HOLD_POLL_MS: u64 = 5;

/// Shared switches of one stand-in.
#[derive(Debug)]
pub struct Switches<T>(Arc<Mutex<T>>);

impl<T> Clone for Switches<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T: Clone + Serialize + DeserializeOwned + Send + 'static> Switches<T> {
    /// Creates switches with the given start values.
    pub fn new(values: T) -> Self {
        Self(Arc::new(Mutex::new(values)))
    }

    /// Locks the switches for reading or changing.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock()
    }

    /// Returns a copy of the present values.
    pub fn get(&self) -> T {
        self.0.lock().clone()
    }

    /// Overlays the fields of a JSON object; an unknown field or a wrong type is an error.
    pub fn amend(&self, changes: &str) -> serde_json::Result<()> {
        let changes: serde_json::Map<String, Value> = serde_json::from_str(changes)?;
        let mut values = self.0.lock();
        let mut merged = serde_json::to_value(&*values)?;
        if let Value::Object(fields) = &mut merged {
            fields.extend(changes);
        }
        *values = serde_json::from_value(merged)?;
        Ok(())
    }

    /// Answers `GET /control`.
    pub async fn show(self, conn: Conn) -> Conn {
        reply::json(conn, 200, &self.get())
    }

    /// Answers `POST /control`.
    pub async fn change(self, mut conn: Conn) -> Conn {
        let body = conn.request_body_string().await.unwrap_or_default();
        match self.amend(&body) {
            Ok(()) => reply::json(conn, 200, &self.get()),
            Err(e) => reply::error(conn, 400, &e.to_string()),
        }
    }

    /// Returns once `held` is false or the stand-in was stopped.
    pub async fn hold(&self, stopped: &StopFlag, held: impl Fn(&T) -> bool) {
        while held(&self.0.lock()) && !stopped.is_set() {
            Timer::after(Duration::from_millis(HOLD_POLL_MS)).await;
        }
    }
}

/// Takes one off a counter of faults to come; returns whether there was one.
pub fn take_one(counter: &mut u64) -> bool {
    let hit = *counter > 0;
    *counter = counter.saturating_sub(1);
    hit
}
