//! The HTTP API for trainers.

use crate::entry::entry_cx::EntryCx;
use crate::entry::publish;
use crate::http::access;
use crate::http::http_input;
use crate::http::in_flight_guard::InFlightGuard;
use crate::http::json_response::json_response;
use crate::http::response_head::read_head;
use crate::prelude::*;
use crate::process::runtime::within;
use crate::steps::pull_call::PullCall;
use crate::steps::step_handle::StepHandle;
use crate::steps::step_host::StepHost;
use crate::steps::step_location::StepLocation;
use crate::steps::step_name::StepName;
use crate::steps::step_spec::StepSpec;
use oleanderlock::pull::{PullAnswer, PullRefusal, SlotSample};
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use trillium::{Conn, Status};
use trillium_client::Client;
use trillium_router::RouterConnExt;
use trillium_smol::ClientConfig;

/// Maximum wait of a pull, in milliseconds; a longer one is cut to it.
const WAIT_MAX_MS: u64 = 30_000;
/// Time that a forwarded pull may take beyond its wait, in milliseconds.
const FORWARD_GRACE_MS: u64 = 1500;
/// Retry delay that is sent with a refused pull.
const PULL_RETRY_DELAY: Millis = Millis(100);
/// HTTP status of an owner that does not have the step.
const NOT_FOUND_STATUS: u16 = 404;
/// Header of a pull that another entry has forwarded, with the name of that entry.
const FORWARDED_HEADER: &str = "x-forwarded-by";

/// Response to the opening of a step.
#[derive(Serialize)]
struct OpenedBody {
    slots: u32,
}

/// Response to a pull.
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

/// Handles `POST /v1/trainers/{trainer}/steps/{step}`.
pub async fn open_step(cx: EntryCx, host: StepHost, mut conn: Conn) -> Conn {
    match try_open(&cx, &host, &mut conn).await {
        Ok((is_new, slots)) => {
            let status = if is_new { Status::Created } else { Status::Ok };
            json_response(conn, status, &OpenedBody { slots })
        }
        Err(error) => respond_error(&cx, &error, conn),
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

/// Handles `GET /v1/trainers/{trainer}/steps/{step}/samples`.
pub async fn pull(cx: EntryCx, host: StepHost, conn: Conn) -> Conn {
    let guard = InFlightGuard::new(&cx.metrics);
    let reply = try_pull(&cx, &host, &conn).await;
    drop(guard);
    match reply {
        Ok(PullReply::Local(answer)) => json_response(conn, Status::Ok, &pull_body(answer)),
        Ok(PullReply::Forwarded { status, body }) => conn
            .with_response_header("content-type", "application/json")
            .with_status(Status::try_from(status).unwrap_or(Status::BadGateway))
            .with_body(body)
            .halt(),
        Err(error) => respond_error(&cx, &error, conn),
    }
}

/// The answer of a step at this entry, or the response of the entry that owns the step.
enum PullReply {
    Local(PullAnswer),
    Forwarded { status: u16, body: String },
}

async fn try_pull(cx: &EntryCx, host: &StepHost, conn: &Conn) -> Result<PullReply, HttpError> {
    access::check(conn, &cx.cfg.trainer_tokens)?;
    let name = step_name(conn)?;
    let wait = Millis(http_input::query_number(conn, "wait_ms", 0)?.min(WAIT_MAX_MS));
    let version = Version(http_input::query_number(conn, "version", 0)?);
    let cursor = http_input::query(conn, "cursor")
        .unwrap_or_default()
        .to_owned();
    let step = match host.locate(cx, &name).await? {
        StepLocation::Local(step) => step,
        StepLocation::Remote(owner) => {
            if let Some(reply) = forward(cx, conn, &owner, wait).await {
                return Ok(reply);
            }
            host.take_over(cx, &name).await?
        }
    };
    pull_local(&step, cursor, version, wait)
        .await
        .map(PullReply::Local)
}

async fn pull_local(
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
            .retry_after(PULL_RETRY_DELAY)
    })
}

/// Forwards a pull to the entry that owns the step; `None` when that entry does not answer, is
/// stopping or has lost the step, and for a pull that was forwarded already.
async fn forward(cx: &EntryCx, conn: &Conn, owner: &str, wait: Millis) -> Option<PullReply> {
    if conn.request_headers().get_str(FORWARDED_HEADER).is_some() {
        return None;
    }
    let client = Client::new(ClientConfig::default());
    let url = format!("http://{owner}{}?{}", conn.path(), conn.querystring());
    let mut call = client
        .get(url)
        .with_request_header(FORWARDED_HEADER, cx.cfg.node.name.clone());
    if let Some(token) = conn.request_headers().get_str("authorization") {
        call = call.with_request_header("authorization", token.to_owned());
    }
    let exchange = async {
        let mut response = read_head(call).await.ok()?;
        let status = response.status()? as u16;
        let body = response.response_body().read_string().await.ok()?;
        let has_step = status < 500 && status != NOT_FOUND_STATUS;
        has_step.then_some(PullReply::Forwarded { status, body })
    };
    within(wait.0 + FORWARD_GRACE_MS, exchange).await.flatten()
}

/// Handles `POST /v1/models/{model}/versions`.
pub async fn publish_version(cx: EntryCx, mut conn: Conn) -> Conn {
    match try_publish(&cx, &mut conn).await {
        Ok(version) => json_response(conn, Status::Accepted, &value!({ "version": version })),
        Err(error) => respond_error(&cx, &error, conn),
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

fn respond_error(cx: &EntryCx, error: &HttpError, conn: Conn) -> Conn {
    cx.metrics.record_refusal(error.kind);
    log::info!("event=refused path={} kind={}", conn.path(), error.kind);
    error.respond(conn)
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
