//! Client of an entry's operator paths.

use crate::cli::Args;
use crate::ctl_error::CtlError;
use oleander_daemon::store::store_client::within;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Longest wait for an answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// A client of one entry.
pub struct EntryClient {
    client: Client,
    base: String,
    token: Option<String>,
}

/// An answer of the entry.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// A contract as it stands.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct StandingContract {
    /// Its generation.
    pub generation: u64,
    /// Its text.
    pub text: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    kind: String,
    message: String,
    ran: Ran,
}

impl EntryClient {
    /// Creates a client from the arguments.
    pub fn new(args: &Args) -> Self {
        Self {
            client: Client::new(ClientConfig::default()),
            base: args.entry.trim_end_matches('/').to_owned(),
            token: args.token.clone(),
        }
    }

    /// Returns the contract of a customer; `None` when there is none.
    ///
    /// # Errors
    ///
    /// The entry's refusal or silence.
    pub fn contract(&self, customer: &str) -> Result<Option<StandingContract>, CtlError> {
        let reply = self.get(&format!("/v1/contracts/{customer}"))?;
        match reply.status {
            404 => Ok(None),
            _ => reply.json().map(Some),
        }
    }

    /// Calls a path with `GET`.
    ///
    /// # Errors
    ///
    /// The entry's silence.
    pub fn get(&self, path: &str) -> Result<Reply, CtlError> {
        self.call(self.client.get(format!("{}{path}", self.base)))
    }

    /// Writes a contract over the generation `base`.
    ///
    /// # Errors
    ///
    /// The entry's silence.
    pub fn put_contract(&self, customer: &str, base: u64, text: &str) -> Result<Reply, CtlError> {
        let conn = self
            .client
            .put(format!("{}/v1/contracts/{customer}", self.base));
        let conn = conn.with_request_header("if-match", base.to_string());
        self.call(conn.with_body(text.to_owned()))
    }

    fn call(&self, conn: Conn) -> Result<Reply, CtlError> {
        let conn = match &self.token {
            Some(token) => conn.with_request_header("authorization", format!("Bearer {token}")),
            None => conn,
        };
        let answer = smol::block_on(within(CALL_TIMEOUT_MS, exchange(conn)));
        match answer {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(fault)) => Err(self.unreachable(fault.to_string())),
            None => Err(self.unreachable("no answer in time".to_owned())),
        }
    }

    fn unreachable(&self, reason: String) -> CtlError {
        CtlError::Unreachable {
            entry: self.base.clone(),
            reason,
        }
    }
}

impl Reply {
    /// Reads the body of a success.
    ///
    /// # Errors
    ///
    /// The entry's refusal, or that the body makes no sense.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        if self.status >= 400 {
            return Err(self.refusal());
        }
        parse(&self.body)
    }

    /// Returns the refusal that the body tells.
    pub fn refusal(&self) -> CtlError {
        match parse::<ErrorBody>(&self.body) {
            Ok(ErrorBody { error }) => CtlError::Refused {
                kind: error.kind,
                message: error.message,
                ran: error.ran,
            },
            Err(fault) => fault,
        }
    }
}

/// Reads JSON.
///
/// # Errors
///
/// [`CtlError::Nonsense`].
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, CtlError> {
    serde_json::from_str(text).map_err(|fault| CtlError::Nonsense {
        reason: fault.to_string(),
    })
}

async fn exchange(conn: Conn) -> Result<Reply, trillium_client::Error> {
    let mut conn = conn.await?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().read_string().await?;
    Ok(Reply { status, body })
}
