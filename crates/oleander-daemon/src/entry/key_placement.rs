//! Finds the agent at which a call with an idempotency key runs.

use crate::entry::bind_request::BindRequest;
use crate::entry::call::Call;
use crate::entry::choose_call::ChooseCall;
use crate::entry::entry_cx::EntryCx;
use crate::entry::key_binder_handle::unix_time;
use crate::entry::route::Route;
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::issued_key::{IssuedKey, KeyError};
use oleanderlock::key_binding::{KeyBinding, KeyHash};
use oleanderlock::request_tracker::{Placement, RequestSpec};

/// Time from the issue or the binding of a key until it expires.
pub const KEY_LIFETIME: Millis = Millis::from_secs(600);
/// Longest key that a caller may choose, in bytes.
const CHOSEN_MAX_BYTES: usize = 256;
/// Time after which a caller may retry while the store can't be reached.
const STORE_RETRY: Millis = Millis(500);

/// The only agent incarnation at which a request with a key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPlacement {
    /// Identity of the request, the same for all calls with the key.
    pub request: RequestId,
    /// Name of the agent.
    pub agent: String,
    /// The only incarnation that may run it.
    pub incarnation: Incarnation,
    /// When the key expires, on the agent's clock.
    pub horizon: Millis,
}

impl KeyPlacement {
    /// Returns the placement of an issued key, or binds a key that the caller chose.
    ///
    /// # Errors
    ///
    /// The key is invalid or was used with another request, or the store, which only chosen keys
    /// need, can't be reached.
    pub async fn find(
        cx: &EntryCx,
        call: &Call,
        service: &str,
        text: &str,
        fingerprint: u64,
    ) -> Result<Self, HttpError> {
        if IssuedKey::is_issued(text) {
            return Self::issued(cx, service, text);
        }
        Self::chosen(cx, call, service, text, fingerprint).await
    }

    /// Returns identity, deadline and placement of the request.
    pub fn spec(&self, call: &Call, idempotent: bool) -> RequestSpec {
        RequestSpec {
            id: self.request,
            idempotent,
            deadline: call.deadline,
            // Calls with the same key have the same request id, so their tickets must differ here.
            first_attempt: rand::random(),
            placement: Placement::Bound {
                incarnation: self.incarnation,
                first_call: call.first_call,
            },
        }
    }

    fn issued(cx: &EntryCx, service: &str, text: &str) -> Result<Self, HttpError> {
        let key = cx
            .secrets
            .verify(text)
            .map_err(|error: KeyError| bad_key(&error.to_string()))?;
        if key.target != service {
            return Err(HttpError::not_run(ErrorKind::KeyReused)
                .detail("the idempotency key was issued for another service"));
        }
        Ok(Self {
            request: key.request_id(),
            incarnation: key.incarnation,
            agent: key.agent,
            horizon: key.expires,
        })
    }

    async fn chosen(
        cx: &EntryCx,
        call: &Call,
        service: &str,
        text: &str,
        fingerprint: u64,
    ) -> Result<Self, HttpError> {
        if text.is_empty() || text.len() > CHOSEN_MAX_BYTES {
            return Err(bad_key("it must have from 1 to 256 bytes"));
        }
        let route = choose_route(cx, call, service).await?;
        let key = KeyHash::of(&call.terms.contract.customer, service, text);
        let req = BindRequest {
            key,
            proposal: proposal(&route, fingerprint),
            deadline: call.deadline,
            first_call: call.first_call,
        };
        let bound = cx.keys.bind(req).await.map_err(|refusal| {
            HttpError::new(refusal.kind, refusal.ran).retry_after(STORE_RETRY)
        })?;
        if bound.fingerprint != fingerprint {
            return Err(HttpError::not_run(ErrorKind::KeyReused));
        }
        Ok(Self {
            request: key.request_id(),
            incarnation: bound.incarnation,
            agent: bound.agent,
            horizon: bound.horizon,
        })
    }
}

/// Chooses an agent for a new key, without an attempt there.
///
/// # Errors
///
/// No agent takes work for the service.
pub async fn choose_route(cx: &EntryCx, call: &Call, service: &str) -> Result<Route, HttpError> {
    let route = cx.choose(|reply| ChooseCall {
        target: Bytes::from(service.to_owned()),
        prefix: None,
        deadline: call.deadline,
        kind: WorkKind::Interactive,
        class: call.terms.class.clone(),
        excluded: Vec::new(),
        min_version: None,
        previous_failure: None,
        reply,
    });
    let route = route
        .await
        .map_err(|no_route| HttpError::not_run(no_route.kind).retry_after(no_route.retry_after))?;
    cx.release(&route);
    Ok(route)
}

fn proposal(route: &Route, fingerprint: u64) -> KeyBinding {
    KeyBinding {
        agent: route.name.clone(),
        incarnation: route.incarnation,
        horizon: route.clock.at(now().plus(KEY_LIFETIME)),
        fingerprint,
        expires: unix_time().plus(KEY_LIFETIME),
    }
}

fn bad_key(problem: &str) -> HttpError {
    let detail = format!("Idempotency-Key: {problem}");
    HttpError::not_run(ErrorKind::BadRequest).detail(detail)
}
