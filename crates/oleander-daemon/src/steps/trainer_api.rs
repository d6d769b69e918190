//! The paths that trainers call.

use crate::entry::entry_cx::EntryCx;
use crate::entry::publish;
use crate::http::access;
use crate::http::http_input;
use crate::http::in_flight_guard::InFlightGuard;
use crate::http::json_response::json_response;
use crate::prelude::*;
use crate::process::runtime::within;
use crate::steps::step_handle::{PullCall, StepHandle};
use crate::steps::step_host::{StepHost, StepPlace};
use crate::steps::step_spec::{StepName, StepSpec};
use oleanderlock::pull::{PullAnswer, PullRefusal, SlotSample};
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use trillium::{Conn, Status};
use trillium_client::Client;
use trillium_router::RouterConnExt;
use trillium_smol::ClientConfig;

/// Longest wait of a pull, in milliseconds.
const WAIT_MAX_MS: u64 = 30_000;
/// What a forwarded pull may take beyond its wait, in milliseconds.
const FORWARD_GRACE_MS: u64 = 1500;
/// Status of an owner that does not have the step.
const NOT_FOUND: u16 = 404;
/// Marks a pull that another entry has forwarded.
const FORWARDED: &str = "x-forwarded-by";

/// Answer to the opening of a step.
#[derive(Serialize)]
struct OpenedBody {
    slots: u32,
}

/// Answer to a pull.
#[derive(Serialize)]
struct PullBody {
    from: String,
    cursor: String,
    version: u64,
    remaining: u32,
    samples: Vec<SampleBody>,
}

#[derive(Serialize)]
struct SampleBody {
    group: u32,
    index: u32,
    text: String,
    tokens: u64,
    segments: Vec<SegmentBody>,
}

#[derive(Serialize)]
struct SegmentBody {
    version: u64,
    first: u64,
    end: u64,
}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

/// Answers `POST /v1/trainers/{trainer}/steps/{step}`.
pub async fn open_step(cx: EntryCx, host: StepHost, mut conn: Conn) -> Conn {
    match try_open(&cx, &host, &mut conn).await {
        Ok((is_new, slots)) => {
            let status = if is_new { Status::Created } else { Status::Ok };
            json_response(conn, status, &OpenedBody { slots })
        }
        Err(fault) => answer_fault(&cx, &fault, conn),
    }
}

async fn try_open(
    cx: &EntryCx,
    host: &StepHost,
    conn: &mut Conn,
) -> Result<(bool, u32), HttpError> {
    access::check(conn, &cx.cfg.trainer_tokens)?;
    let name = step_name(conn)?;
    let spec: StepSpec = http_input::json(conn).await?;
    let slots = spec.shape().slots();
    let is_new = host.open(cx, &name, spec).await?;
    Ok((is_new, slots))
}

/// Answers `GET /v1/trainers/{trainer}/steps/{step}/samples`.
pub async fn pull(cx: EntryCx, host: StepHost, conn: Conn) -> Conn {
    let guard = InFlightGuard::new(&cx.metrics);
    let answer = try_pull(&cx, &host, &conn).await;
    drop(guard);
    match answer {
        Ok(Pulled::Here(answer)) => json_response(conn, Status::Ok, &pull_body(answer)),
        Ok(Pulled::There { status, body }) => conn
            .with_response_header("content-type", "application/json")
            .with_status(Status::try_from(status).unwrap_or(Status::BadGateway))
            .with_body(body)
            .halt(),
        Err(fault) => answer_fault(&cx, &fault, conn),
    }
}

/// An answer made here, or one that another entry gave.
enum Pulled {
    Here(PullAnswer),
    There { status: u16, body: String },
}

async fn try_pull(cx: &EntryCx, host: &StepHost, conn: &Conn) -> Result<Pulled, HttpError> {
    access::check(conn, &cx.cfg.trainer_tokens)?;
    let name = step_name(conn)?;
    let wait = Millis(http_input::query_number(conn, "wait_ms", 0)?.min(WAIT_MAX_MS));
    let version = Version(http_input::query_number(conn, "version", 0)?);
    let cursor = http_input::query(conn, "cursor")
        .unwrap_or_default()
        .to_owned();
    let step = match host.place(cx, &name).await? {
        StepPlace::Here(step) => step,
        StepPlace::There(owner) => {
            if let Some(answer) = forward(cx, conn, &owner, wait).await {
                return Ok(answer);
            }
            host.take_over(cx, &name).await?
        }
    };
    pull_here(&step, cursor, version, wait)
        .await
        .map(Pulled::Here)
}

async fn pull_here(
    step: &StepHandle,
    cursor: String,
    version: Version,
    wait: Millis,
) -> Result<PullAnswer, HttpError> {
    let (tx, rx) = async_channel::bounded(1);
    step.pull(PullCall {
        cursor,
        version,
        wait,
        reply: tx,
    });
    let answer = rx.recv().await.unwrap_or(Err(PullRefusal::Moved));
    answer.map_err(|refusal| {
        HttpError::not_run(refusal.kind())
            .detail(refusal.to_string())
            .retry_after(Millis(100))
    })
}

/// Hands a pull to the owner; `None` when the owner does not answer, is stopping, or has lost the
/// step.
async fn forward(cx: &EntryCx, conn: &Conn, owner: &str, wait: Millis) -> Option<Pulled> {
    if conn.request_headers().get_str(FORWARDED).is_some() {
        return None;
    }
    let client = Client::new(ClientConfig::default());
    let url = format!("http://{owner}{}?{}", conn.path(), conn.querystring());
    let mut call = client
        .get(url)
        .with_request_header(FORWARDED, cx.cfg.node.name.clone());
    if let Some(token) = conn.request_headers().get_str("authorization") {
        call = call.with_request_header("authorization", token.to_owned());
    }
    let exchange = async {
        let mut answer = call.await.ok()?;
        let status = answer.status()? as u16;
        let body = answer.response_body().read_string().await.ok()?;
        let has_step = status < 500 && status != NOT_FOUND;
        has_step.then_some(Pulled::There { status, body })
    };
    within(wait.0 + FORWARD_GRACE_MS, exchange).await.flatten()
}

/// Answers `POST /v1/models/{model}/versions`.
pub async fn publish_version(cx: EntryCx, mut conn: Conn) -> Conn {
    match try_publish(&cx, &mut conn).await {
        Ok(version) => json_response(conn, Status::Accepted, &value!({ "version": version })),
        Err(fault) => answer_fault(&cx, &fault, conn),
    }
}

async fn try_publish(cx: &EntryCx, conn: &mut Conn) -> Result<u64, HttpError> {
    access::check(conn, &cx.cfg.trainer_tokens)?;
    let model = conn.param("model").unwrap_or_default().to_owned();
    let body: VersionBody = http_input::json(conn).await?;
    publish::publish(cx, &model, Version(body.version)).await?;
    Ok(body.version)
}

fn step_name(conn: &Conn) -> Result<StepName, HttpError> {
    let trainer = conn.param("trainer").unwrap_or_default().to_owned();
    let step = conn.param("step").and_then(|step| step.parse().ok());
    let step = step.ok_or_else(|| {
        HttpError::not_run(ErrorKind::BadRequest).detail("the step must be a whole number")
    })?;
    Ok(StepName { trainer, step })
}

fn answer_fault(cx: &EntryCx, fault: &HttpError, conn: Conn) -> Conn {
    cx.metrics.record_refusal(fault.kind);
    log::info!("event=refused path={} kind={}", conn.path(), fault.kind);
    fault.respond(conn)
}

fn pull_body(answer: PullAnswer) -> PullBody {
    PullBody {
        from: answer.from,
        cursor: answer.cursor,
        version: answer.version.0,
        remaining: answer.remaining,
        samples: answer.samples.into_iter().map(sample_body).collect(),
    }
}

fn sample_body(sample: SlotSample) -> SampleBody {
    let segments = sample
        .answer
        .attribution
        .segments()
        .iter()
        .map(|segment| SegmentBody {
            version: segment.version.unwrap_or_default().0,
            first: segment.first,
            end: segment.end,
        });
    SampleBody {
        group: sample.slot.group,
        index: sample.slot.index,
        text: String::from_utf8_lossy(&sample.answer.data).into_owned(),
        tokens: sample.answer.tokens,
        segments: segments.collect(),
    }
}
