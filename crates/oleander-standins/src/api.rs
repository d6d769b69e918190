//! A small HTTP client for the stand-ins, the trainer and tests.

use derive_more::{Display, Error, From};
use futures_lite::FutureExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};
use trillium_smol::ClientConfig;

const TIMEOUT_MS: u64 = 30_000;

/// Why a call has no valid answer.
#[derive(Debug, Display, Error, From)]
pub enum ApiError {
    /// The connection failed or broke.
    #[display("the connection broke: {_0}")]
    Broken(trillium_client::Error),
    /// No whole answer came in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
    /// The answer is not the JSON expected.
    #[display("the answer can't be read: {_0}")]
    Unreadable(serde_json::Error),
    /// The answer has another status than expected.
    #[display("status {status}: {body}")]
    #[from(ignore)]
    Status {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        body: String,
    },
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Text of the answer.
    pub body: String,
}

impl Reply {
    /// Reads the body of a 2xx answer.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        if !(200..300).contains(&self.status) {
            return Err(ApiError::Status {
                status: self.status,
                body: self.body.clone(),
            });
        }
        Ok(serde_json::from_str(&self.body)?)
    }
}

/// A client of one HTTP address.
#[derive(Clone, Debug)]
pub struct Api {
    client: Client,
    base: String,
    token: Option<String>,
    timeout: Duration,
}

impl Api {
    /// Creates a client of `address` that opens a connection for each call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(ClientConfig::new().with_nodelay(true)),
            base: format!("http://{address}"),
            token: None,
            timeout: Duration::from_millis(TIMEOUT_MS),
        }
    }

    /// Creates a client that uses its connections again.
    pub fn pooled(address: SocketAddr) -> Self {
        let mut api = Self::new(address);
        api.client = api.client.with_default_pool();
        api
    }

    /// Shows `token` as bearer token on each call.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Gives up a call after `timeout`.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Builds a call that has not been sent.
    pub fn conn(&self, method: Method, path: &str) -> Conn {
        let conn = self
            .client
            .build_conn(method, format!("{}{path}", self.base));
        match &self.token {
            Some(token) => conn.with_request_header("authorization", format!("Bearer {token}")),
            None => conn,
        }
    }

    /// Sends a call and reads its whole answer.
    pub async fn send(&self, mut conn: Conn) -> Result<Reply, ApiError> {
        let call = async {
            (&mut conn).await?;
            let status = conn.status().map_or(0, |status| status as u16);
            let body = conn.response_body().read_string().await?;
            Ok(Reply { status, body })
        };
        let timeout = async {
            Timer::after(self.timeout).await;
            Err(ApiError::Timeout)
        };
        call.or(timeout).await
    }

    /// Gets a path.
    pub async fn get(&self, path: &str) -> Result<Reply, ApiError> {
        self.send(self.conn(Method::Get, path)).await
    }

    /// Posts JSON to a path.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Reply, ApiError> {
        self.send_json(Method::Post, path, body).await
    }

    /// Puts JSON to a path.
    pub async fn put(&self, path: &str, body: &impl Serialize) -> Result<Reply, ApiError> {
        self.send_json(Method::Put, path, body).await
    }

    /// Sets fault switches of a stand-in, given as a JSON object.
    pub async fn control(&self, switches: &str) -> Result<(), ApiError> {
        let conn = self.conn(Method::Post, "/control");
        let reply = self.send(conn.with_body(switches.to_owned())).await?;
        reply.json::<serde_json::Value>().map(drop)
    }

    /// Reads the record of a stand-in.
    pub async fn record<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        self.get("/record").await?.json()
    }

    async fn send_json(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, ApiError> {
        let body = serde_json::to_vec(body)?;
        let conn = self
            .conn(method, path)
            .with_request_header("content-type", "application/json")
            .with_body(body);
        self.send(conn).await
    }
}
