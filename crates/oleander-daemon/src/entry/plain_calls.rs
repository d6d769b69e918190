//! Handlers of `POST /v1/services/{service}/{path}` and `POST /v1/keys`.

use crate::entry::call::{Call, fingerprint};
use crate::entry::completions::{outcome_error, refuse};
use crate::entry::entry_cx::EntryCx;
use crate::entry::key_placement::{KEY_LIFETIME, KeyPlacement, choose_route};
use crate::entry::request::Request;
use crate::entry::request_run;
use crate::http::http_input;
use crate::http::in_flight_guard::InFlightGuard;
use crate::http::json_response::json_response;
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::issued_key::IssuedKey;
use serde::Deserialize;
use serde_json::json as value;
use trillium::{Conn, Status};
use trillium_router::RouterConnExt;

/// Body of a call for a key.
#[derive(Clone, Debug, Deserialize)]
struct KeyBody {
    service: String,
}

/// Answers `POST /v1/services/{service}/{path}`.
pub async fn call(cx: EntryCx, mut conn: Conn) -> Conn {
    let service = conn.param("service").unwrap_or_default().to_owned();
    let path = format!("/{}", conn.wildcard().unwrap_or_default());
    let started_at = now();
    let result = read_call(&cx, &mut conn, &service, path).await;
    let req = match result {
        Ok(req) => req,
        Err(error) => return refuse(&cx, with_earlier_calls(error, &conn), conn),
    };
    let id = req.spec.id;
    let idempotent = req.spec.idempotent;
    let guard = InFlightGuard::new(&cx.metrics);
    let run = request_run::run(&cx, req, |_| true);
    // Work that must not be repeated goes on when its caller disconnects, so that a later call with
    // the same key gets its outcome.
    let end = if idempotent {
        conn.cancel_on_disconnect(run).await
    } else {
        Some(run.await)
    };
    let Some(end) = end else { return conn };
    drop(guard);
    cx.metrics.record_latency(now().since(started_at));
    let outcome = end.outcome;
    match (outcome.error, outcome.data.clone()) {
        (None, Some(data)) => {
            // A status that the server doesn't know, as of a later agent, is no success.
            let status = Status::try_from(outcome.status).unwrap_or(Status::BadGateway);
            conn.with_response_header("content-type", "application/json")
                .with_response_header("x-request-id", id.to_string())
                .with_status(status)
                .with_body(data.to_vec())
                .halt()
        }
        (None, None) => {
            let detail = "the work ran; its answer is no longer kept";
            let error = HttpError::new(ErrorKind::Internal, Ran::Yes).detail(detail);
            refuse(&cx, error.for_request(id), conn)
        }
        (Some(kind), _) => refuse(&cx, outcome_error(kind, &outcome).for_request(id), conn),
    }
}

async fn read_call(
    cx: &EntryCx,
    conn: &mut Conn,
    service: &str,
    path: String,
) -> Result<Request, HttpError> {
    let call = Call::read(cx, conn, Some(service)).await?;
    http_input::check_json_type(conn)?;
    let payload = Bytes::from(http_input::text(conn).await?);
    let fingerprint = fingerprint(&format!("{service}{path}"), &payload);
    let idempotent = call.terms.contract.services[service].idempotent;
    let key = conn.request_headers().get_str("idempotency-key");
    let placement = match key {
        Some(text) => Some(KeyPlacement::find(cx, &call, service, text, fingerprint).await?),
        None => None,
    };
    let spec = match &placement {
        Some(placement) => placement.spec(&call, idempotent),
        None => call.spec(idempotent),
    };
    Ok(Request {
        spec,
        target: Bytes::from(service.to_owned()),
        class: call.terms.class.clone(),
        kind: WorkKind::Interactive,
        fingerprint,
        payload,
        route: format!("POST {path}"),
        prefix: None,
        cost: 1,
        horizon: placement.as_ref().map(|placement| placement.horizon),
        agent: placement.map(|placement| placement.agent),
    })
}

/// Changes `ran` of a refusal to unknown if an earlier call with the same key may have run.
fn with_earlier_calls(error: HttpError, conn: &Conn) -> HttpError {
    let headers = conn.request_headers();
    let first_call = headers.get_str("x-first-call") == Some("yes");
    let may_have_earlier_call = headers.get_str("idempotency-key").is_some() && !first_call;
    // A reused key is bound to other work, so this work has not run.
    let is_proved = error.kind == ErrorKind::KeyReused;
    match may_have_earlier_call && !is_proved {
        true => HttpError {
            ran: Ran::Unknown,
            ..error
        },
        false => error,
    }
}

/// Answers `POST /v1/keys`: issues an idempotency key for one call of a plain service.
pub async fn issue_key(cx: EntryCx, mut conn: Conn) -> Conn {
    match try_issue(&cx, &mut conn).await {
        Ok(text) => {
            let body = value!({ "key": text, "expires_in_ms": KEY_LIFETIME.0 });
            json_response(conn, Status::Ok, &body)
        }
        Err(error) => refuse(&cx, error, conn),
    }
}

async fn try_issue(cx: &EntryCx, conn: &mut Conn) -> Result<String, HttpError> {
    let body: KeyBody = http_input::json(conn).await?;
    let call = Call::read(cx, conn, Some(&body.service)).await?;
    let route = choose_route(cx, &call, &body.service).await?;
    let key = IssuedKey {
        target: body.service,
        agent: route.name.clone(),
        incarnation: route.incarnation,
        expires: route.clock.at(now().plus(KEY_LIFETIME)),
        nonce: rand::random(),
    };
    cx.secrets
        .issue(&key)
        .map_err(|error| HttpError::not_run(ErrorKind::BadRequest).detail(error.to_string()))
}
