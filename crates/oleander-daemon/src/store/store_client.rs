//! Client of the platform's object API.

use crate::process::runtime::within;
use crate::store::store_limit::StoreLimit;
use derive_more::{Display, Error};
use oleanderlock::prelude::*;
use oleanderlock::store_call::StoreCall;
use serde::{Deserialize, Serialize};
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Longest wait for an answer that is not a watch.
const CALL_TIMEOUT_MS: u64 = 2000;
/// What a watch may take beyond the wait it asked for.
const WATCH_GRACE_MS: u64 = 2000;

/// Status of calls that this process does not make, because its rate is used up.
const OWN_REFUSAL: u16 = 429;

/// One object of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Full name, for example `contracts/kalahari`.
    pub name: String,
    /// Revision of the last write.
    pub version: u64,
    /// The value; `None` in a watch event for a deleted object.
    pub value: Option<String>,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ObjectList {
    /// Revision of the store at the time of the answer.
    pub revision: u64,
    /// The objects, or the changes, oldest first.
    #[serde(alias = "events")]
    pub objects: Vec<StoredObject>,
}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The condition does not hold; nothing was written.
    #[display("the object has version {version}")]
    Mismatch {
        /// Version that stands, 0 for none.
        version: u64,
    },
    /// The store refused the call; nothing was written.
    #[display("the store refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No answer came; a write may have taken effect.
    #[display("the store did not answer")]
    NoAnswer,
    /// The history asked for is gone.
    #[display("the history is gone")]
    HistoryGone,
}

/// A client of one store; cheap to clone.
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

    /// Reads all objects whose names begin with `prefix`.
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

    /// Writes one object if the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// After [`StoreError::NoAnswer`] the write may have taken effect; after the others not.
    pub async fn put(
        &self,
        name: &str,
        condition: Condition,
        value: String,
    ) -> Result<u64, StoreError> {
        let conn = self.client.put(self.object_url(name));
        let conn = match condition {
            Condition::Absent => conn.with_request_header("if-none-match", "*"),
            Condition::Version(version) => {
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

    /// Waits for changes after `after` under `prefix`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] when a whole list must be read first.
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

    /// Divides the store's rates among this number of entries.
    pub fn share_among(&self, entries: usize) {
        self.limit.share_among(entries);
    }

    async fn call(
        &self,
        kind: StoreCall,
        conn: Conn,
        timeout_ms: u64,
    ) -> Result<Reply, StoreError> {
        if !self.limit.take(kind) {
            return Err(StoreError::Refused {
                status: OWN_REFUSAL,
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
    let mut conn = conn.await.map_err(|_| StoreError::NoAnswer)?;
    let status = conn.status().ok_or(StoreError::NoAnswer)? as u16;
    let body = conn
        .response_body()
        .read_string()
        .await
        .map_err(|_| StoreError::NoAnswer)?;
    // Only a connection whose answer was read whole may serve the next call.
    conn.recycle().await;
    Ok(Reply { status, body })
}
