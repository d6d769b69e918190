//! Client of a plain service.

use crate::entry::attempt::{Attempt, AttemptEnd};
use crate::http::response_head::{HeadError, read_head};
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::request_outcome::Outcome;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// A client of one plain service; cheap to clone.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: Client,
    base: String,
}

impl ServiceClient {
    /// Creates a client for the service at `base`.
    pub fn new(base: &str) -> Self {
        // Without a pool each call has its own connection, and the client never resends a call.
        let client = Client::new(ClientConfig::default());
        Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Runs one attempt.
    ///
    /// Once there is a connection, the service may have run the work, whatever the error.
    pub async fn run(&self, attempt: &Attempt) -> AttemptEnd {
        match self.exchange(attempt).await {
            Ok(end) => end,
            Err(error) => {
                let ran = ran_after(&error);
                AttemptEnd::failed(attempt.ticket(), ErrorKind::EndpointFailed, ran)
            }
        }
    }

    async fn exchange(&self, attempt: &Attempt) -> Result<AttemptEnd, HeadError> {
        let mut conn = read_head(self.call(attempt)).await?;
        let status = conn.status().ok_or(HeadError::OddStatus)? as u16;
        let body = conn.response_body().read_bytes().await;
        let data = Bytes::from(body.map_err(HeadError::Client)?);
        Ok(AttemptEnd {
            ticket: attempt.ticket(),
            outcome: Outcome::answered(status, data),
        })
    }

    fn call(&self, attempt: &Attempt) -> Conn {
        let path = attempt.route.strip_prefix("POST ").unwrap_or("/");
        self.client
            .post(format!("{}{path}", self.base))
            .with_request_header("content-type", "application/json")
            .with_request_header("x-request-id", attempt.ticket().request.to_string())
            .with_body(attempt.payload.to_vec())
    }
}

/// Returns whether the work may have run; only a refused connection proves that it did not.
fn ran_after(error: &HeadError) -> Ran {
    match error {
        HeadError::Client(trillium_client::Error::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Ran::No
        }
        _ => Ran::Unknown,
    }
}
