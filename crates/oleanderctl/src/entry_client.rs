//! Client of the operator API of an entry.

use crate::cli::Args;
use crate::ctl_error::CtlError;
use crate::current_contract::CurrentContract;
use crate::reply::Reply;
use oleander_daemon::process::runtime::within;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// A client of one entry that sends the operator token, if there is one.
pub struct EntryClient {
    client: Client,
    base: String,
    token: Option<String>,
}

impl EntryClient {
    /// Creates a client for the entry and token in the arguments.
    pub fn new(args: &Args) -> Self {
        Self {
            client: Client::new(ClientConfig::default()),
            base: args.entry.trim_end_matches('/').to_owned(),
            token: args.token.clone(),
        }
    }

    /// Returns the current contract of a customer; `None` when there is none.
    ///
    /// # Errors
    ///
    /// [`CtlError::Refused`], [`CtlError::Unreachable`] or [`CtlError::Nonsense`].
    pub fn contract(&self, customer: &str) -> Result<Option<CurrentContract>, CtlError> {
        let reply = self.get(&format!("/v1/contracts/{customer}"))?;
        match reply.status {
            404 => Ok(None),
            _ => reply.json().map(Some),
        }
    }

    /// Calls a path with `GET`; a response with an error status is returned too.
    ///
    /// # Errors
    ///
    /// [`CtlError::Unreachable`].
    pub fn get(&self, path: &str) -> Result<Reply, CtlError> {
        self.call(self.client.get(format!("{}{path}", self.base)))
    }

    /// Replaces the contract of a customer if its generation is `base`; 0 means that there is none.
    ///
    /// # Errors
    ///
    /// [`CtlError::Unreachable`].
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
        let reply = smol::block_on(within(CALL_TIMEOUT_MS, exchange(conn)));
        match reply {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(error)) => Err(self.unreachable(error.to_string())),
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

async fn exchange(conn: Conn) -> Result<Reply, trillium_client::Error> {
    let mut conn = conn.await?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().read_string().await?;
    Ok(Reply { status, body })
}
