//! Client of the platform's object store.

use crate::http::response_head::read_head;
use crate::process::runtime::within;
use crate::store::object_list::ObjectList;
use crate::store::store_error::StoreError;
use crate::store::store_limit::StoreLimit;
use crate::store::stored_object::StoredObject;
use crate::store::write_condition::WriteCondition;
use oleanderlock::prelude::*;
use oleanderlock::store_call::StoreCall;
use serde::Deserialize;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Timeout of calls other than watches, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Time that a watch may take beyond its wait, in milliseconds.
const WATCH_GRACE_MS: u64 = 2000;

/// Statuses of the store that settle whether a call was carried out; any other leaves that open.
const SETTLED: [u16; 11] = [200, 400, 401, 403, 404, 405, 410, 412, 413, 429, 503];
/// Status that is reported for a call that is not made because this process has used up its rate.
const RATE_LIMITED_STATUS: u16 = 429;

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

/// A client of the store that limits its own call rate; cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreClient {
    client: Client,
    base: String,
    limit: StoreLimit,
}

impl StoreClient {
    /// Creates a client for the store at `base`, for example `http://127.0.0.1:9000`.
    pub fn new(base: &str) -> Self {
        let client = Client::new(ClientConfig::default()).with_default_pool();
        Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
            limit: StoreLimit::default(),
        }
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] or [`StoreError::NoAnswer`].
    pub async fn get(&self, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let conn = self.client.get(self.object_url(name));
        let reply = self.call(StoreCall::Read, conn, CALL_TIMEOUT_MS).await?;
        match reply.status {
            200 => reply.json().map(Some),
            404 => Ok(None),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads all objects whose names start with `prefix`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] or [`StoreError::NoAnswer`].
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, StoreError> {
        let conn = self
            .client
            .get(format!("{}/objects?prefix={prefix}", self.base));
        let reply = self.call(StoreCall::Read, conn, CALL_TIMEOUT_MS).await?;
        match reply.status {
            200 => reply.json(),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Writes one object if the condition is met, and returns its new version.
    ///
    /// # Errors
    ///
    /// After [`StoreError::NoAnswer`] the write may have taken effect; other errors mean that it has not.
    pub async fn put(
        &self,
        name: &str,
        condition: WriteCondition,
        value: String,
    ) -> Result<u64, StoreError> {
        let conn = self.client.put(self.object_url(name));
        let conn = match condition {
            WriteCondition::Absent => conn.with_request_header("if-none-match", "*"),
            WriteCondition::Version(version) => {
                conn.with_request_header("if-match", version.to_string())
            }
        };
        let conn = conn.with_body(value);
        let reply = self.call(StoreCall::Write, conn, CALL_TIMEOUT_MS).await?;
        match reply.status {
            200 => reply.json::<VersionBody>().map(|body| body.version),
            412 => {
                let body: VersionBody = reply.json()?;
                Err(StoreError::Mismatch {
                    version: body.version,
                })
            }
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Waits at most `wait` for changes under `prefix` after the revision `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] when the objects must be listed again;
    /// [`StoreError::Refused`] or [`StoreError::NoAnswer`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<ObjectList, StoreError> {
        let query = format!("prefix={prefix}&after={after}&wait_ms={}", wait.0);
        let conn = self.client.get(format!("{}/watch?{query}", self.base));
        let timeout_ms = wait.0 + WATCH_GRACE_MS;
        let reply = self.call(StoreCall::Read, conn, timeout_ms).await?;
        match reply.status {
            200 => reply.json(),
            410 => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Sets the number of entries that share the store's call rates.
    pub fn share_among(&self, entries: usize) {
        self.limit.share_among(entries);
    }

    async fn call(
        &self,
        kind: StoreCall,
        conn: Conn,
        timeout_ms: u64,
    ) -> Result<Reply, StoreError> {
        if !self.limit.try_take(kind) {
            return Err(StoreError::Refused {
                status: RATE_LIMITED_STATUS,
            });
        }
        call(conn, timeout_ms).await
    }

    fn object_url(&self, name: &str) -> String {
        format!("{}/objects/{name}", self.base)
    }
}

struct Reply {
    status: u16,
    body: String,
}

impl Reply {
    fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_str(&self.body).map_err(|_| StoreError::NoAnswer)
    }
}

async fn call(conn: Conn, timeout_ms: u64) -> Result<Reply, StoreError> {
    within(timeout_ms, exchange(conn))
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

async fn exchange(conn: Conn) -> Result<Reply, StoreError> {
    let mut conn = read_head(conn).await.map_err(|_| StoreError::NoAnswer)?;
    let status = conn.status().ok_or(StoreError::NoAnswer)? as u16;
    let body = conn
        .response_body()
        .read_string()
        .await
        .map_err(|_| StoreError::NoAnswer)?;
    // A connection may be reused only after its response was read to the end.
    conn.recycle().await;
    if SETTLED.contains(&status) {
        Ok(Reply { status, body })
    } else {
        Err(StoreError::NoAnswer)
    }
}
