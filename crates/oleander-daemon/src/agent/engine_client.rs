//! Client of a model engine.

use crate::agent::engine_load::EngineLoad;
use crate::agent::engine_version::EngineVersion;
use crate::agent::swap_outcome::SwapOutcome;
use crate::entry::attempt::{Attempt, AttemptEnd};
use crate::http::engine_event::EngineEvent;
use crate::http::event_reader::EventReader;
use crate::http::response_head::read_head;
use crate::prelude::*;
use crate::process::runtime::within;
use bytes::Bytes;
use serde_json::{Value, json};
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Timeout of calls that are neither streams nor swaps, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Timeout of a weight swap, in milliseconds.
const SWAP_TIMEOUT_MS: u64 = 120_000;

/// A client of one engine; cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: Client,
    base: String,
}

impl EngineClient {
    /// Creates a client for the engine at `base`.
    pub fn new(base: &str) -> Self {
        // Without a pool each call has its own connection, and the client never resends a call.
        let client = Client::new(ClientConfig::default());
        Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Runs one attempt and calls `on_chunk` for each chunk of its answer.
    pub async fn run(&self, attempt: &Attempt, on_chunk: impl Fn(wire::Chunk)) -> AttemptEnd {
        let ticket = attempt.ticket();
        let Some(body) = generate_body(attempt) else {
            return AttemptEnd::failed(ticket, ErrorKind::BadRequest, Ran::No);
        };
        let request = self.client.post(self.url("/v1/generate"));
        let request = request.with_request_header("content-type", "application/json");
        let Ok(mut conn) = read_head(request.with_body(body)).await else {
            return AttemptEnd::failed(ticket, ErrorKind::EndpointFailed, Ran::Unknown);
        };
        if !conn.status().is_some_and(|status| status.is_success()) {
            return AttemptEnd::failed(ticket, ErrorKind::EndpointFailed, Ran::Unknown);
        }
        let mut events = EventReader::new(conn.response_body());
        loop {
            match events.next().await {
                Ok(EngineEvent::Done { total, .. }) => return AttemptEnd::whole(ticket, total),
                Ok(EngineEvent::Tokens {
                    offset,
                    tokens,
                    text,
                    version,
                }) => {
                    on_chunk(chunk(ticket, offset, tokens, text, version));
                }
                Err(_) => {
                    return AttemptEnd::failed(ticket, ErrorKind::EndpointFailed, Ran::Unknown);
                }
            }
        }
    }

    /// Asks the engine to stop an attempt whose result is no longer needed.
    pub async fn cancel(&self, ticket: Ticket) {
        let body = json!({ "request": ticket.to_string() }).to_string();
        let call = self.client.post(self.url("/v1/cancel")).with_body(body);
        // A lost cancellation wastes work but does no other harm.
        let _ = within(CALL_TIMEOUT_MS, read_head(call)).await;
    }

    /// Returns the load of the engine; `None` without a valid response.
    pub async fn load(&self) -> Option<EngineLoad> {
        self.get("/v1/load").await
    }

    /// Returns the model and version that the engine serves; `None` without a valid response.
    pub async fn version(&self) -> Option<EngineVersion> {
        self.get("/v1/version").await
    }

    /// Orders the engine to load a version and waits until it has done so.
    pub async fn order_load(&self, fence: Fence, model: &str, version: Version) -> SwapOutcome {
        let body = json!({ "fence": fence.0, "model": model, "version": version.0 }).to_string();
        let call = self.client.post(self.url("/v1/weights")).with_body(body);
        let response = within(SWAP_TIMEOUT_MS, read_head(call)).await;
        let status = response.and_then(Result::ok).and_then(|conn| conn.status());
        match status.map(|status| status as u16) {
            Some(200) => SwapOutcome::Loaded,
            Some(409) => SwapOutcome::OldFence,
            _ => SwapOutcome::Unknown,
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let exchange = async {
            let conn = read_head(self.client.get(self.url(path))).await.ok()?;
            let mut conn = conn.success().ok()?;
            let body = conn.response_body().read_string().await.ok()?;
            serde_json::from_str(&body).ok()
        };
        within(CALL_TIMEOUT_MS, exchange).await.flatten()
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

fn generate_body(attempt: &Attempt) -> Option<String> {
    let mut body: Value = serde_json::from_slice(&attempt.payload).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("request".to_owned(), json!(attempt.ticket().to_string()));
    fields.insert("priority".to_owned(), json!(priority_of(attempt.kind)));
    fields.insert("resume_from".to_owned(), json!(attempt.resume_offset));
    Some(body.to_string())
}

/// Returns the priority in the engine's queue; it serves greater numbers first.
fn priority_of(kind: WorkKind) -> u32 {
    match kind {
        WorkKind::Interactive => 1,
        WorkKind::Samples => 0,
    }
}

fn chunk(
    ticket: Ticket,
    offset: u64,
    tokens: u64,
    text: String,
    version: Option<u64>,
) -> wire::Chunk {
    let segment = wire::Segment {
        version: version.unwrap_or_default(),
        first: offset,
        end: offset + tokens,
        unknown: version.is_none(),
    };
    wire::Chunk {
        ticket: Some(ticket.into()),
        offset,
        tokens,
        data: Bytes::from(text),
        segments: vec![segment],
    }
}
