//! `POST /v1/completions` and `/v1/chat/completions`.

use crate::entry::call::{Call, fingerprint, prefix_of};
use crate::entry::entry_cx::EntryCx;
use crate::entry::request::Request;
use crate::entry::request_end::RequestEnd;
use crate::entry::request_run;
use crate::http::http_input;
use crate::http::in_flight_guard::InFlightGuard;
use crate::http::json_response::json_response;
use crate::prelude::*;
use crate::process::runtime;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use oleanderlock::request_outcome::Outcome;
use serde::Deserialize;
use serde_json::{Value, json as value};
use trillium::{Body as HttpBody, Conn, Status};

/// Limit on the tokens of an answer when the caller sets none.
const MAX_TOKENS_DEFAULT: u64 = 256;
/// Largest limit on the tokens of an answer that a caller may set.
const MAX_TOKENS_LIMIT: u64 = 32_768;

/// Body of a completion call.
#[derive(Clone, Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Body of a chat completion call.
#[derive(Clone, Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// The API whose response format is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApiFormat {
    Completion,
    Chat,
}

/// Writes the response bodies of one request.
#[derive(Clone, Debug)]
struct ResponseWriter {
    format: ApiFormat,
    id: String,
    model: String,
}

/// Answers `POST /v1/completions`.
pub async fn completions(cx: EntryCx, mut conn: Conn) -> Conn {
    let body = http_input::json::<CompletionBody>(&mut conn).await;
    match body {
        Ok(body) => answer(cx, conn, ApiFormat::Completion, body).await,
        Err(error) => refuse(&cx, error, conn),
    }
}

/// Answers `POST /v1/chat/completions`.
pub async fn chat(cx: EntryCx, mut conn: Conn) -> Conn {
    let body = match http_input::json::<ChatBody>(&mut conn).await {
        Ok(body) => body,
        Err(error) => return refuse(&cx, error, conn),
    };
    let lines = body
        .messages
        .iter()
        .map(|message| format!("{}: {}", message.role, message.content));
    let prompt = lines.collect::<Vec<String>>().join("\n");
    let body = CompletionBody {
        model: body.model,
        prompt,
        max_tokens: body.max_tokens,
        stream: body.stream,
    };
    answer(cx, conn, ApiFormat::Chat, body).await
}

async fn answer(cx: EntryCx, mut conn: Conn, format: ApiFormat, body: CompletionBody) -> Conn {
    let started_at = now();
    let call = match Call::read(&cx, &conn, None).await {
        Ok(call) => call,
        Err(error) => return refuse(&cx, error, conn),
    };
    let req = match request(&call, &body) {
        Ok(req) => req,
        Err(error) => return refuse(&cx, error, conn),
    };
    let id = req.spec.id;
    let writer = ResponseWriter {
        format,
        id: id.to_string(),
        model: body.model,
    };
    if body.stream {
        return answer_stream(cx, conn, writer, req).await;
    }
    let guard = InFlightGuard::new(&cx.metrics);
    let run = request_run::run(&cx, req, |_| true);
    let Some(end) = conn.cancel_on_disconnect(run).await else {
        return conn;
    };
    drop(guard);
    cx.metrics.record_latency(now().since(started_at));
    match answer_text(&end) {
        Ok(text) => {
            let body = writer.full(&text, end.outcome.total);
            json_response(conn, Status::Ok, &body)
        }
        Err(error) => refuse(&cx, error.for_request(id), conn),
    }
}

fn request(call: &Call, body: &CompletionBody) -> Result<Request, HttpError> {
    let max_tokens = body.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        let detail = format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}");
        return Err(HttpError::not_run(ErrorKind::BadRequest).detail(detail));
    }
    let payload = value!({ "prompt": body.prompt, "max_tokens": max_tokens }).to_string();
    let payload = Bytes::from(payload);
    Ok(Request {
        spec: call.spec(true),
        target: Bytes::from(body.model.clone()),
        class: call.terms.class.clone(),
        kind: WorkKind::Interactive,
        fingerprint: fingerprint(&body.model, &payload),
        payload,
        route: String::new(),
        prefix: Some(prefix_of(&body.prompt)),
        cost: max_tokens,
        horizon: None,
        agent: None,
    })
}

/// Returns the text of a complete answer, or the error for the caller.
fn answer_text(end: &RequestEnd) -> Result<String, HttpError> {
    if let Some(kind) = end.outcome.error {
        return Err(outcome_error(kind, &end.outcome));
    }
    let Some(answer) = &end.answer else {
        return Err(HttpError::new(ErrorKind::Internal, end.outcome.ran));
    };
    Ok(String::from_utf8_lossy(&answer.data).into_owned())
}

/// Returns the error response for a failed outcome.
pub fn outcome_error(kind: ErrorKind, outcome: &Outcome) -> HttpError {
    let error = HttpError::new(kind, outcome.ran);
    match outcome.retry_after {
        Some(length) => error.retry_after(length),
        None => error,
    }
}

/// Answers with an error; counts it, records it for operators and logs it.
pub fn refuse(cx: &EntryCx, error: HttpError, conn: Conn) -> Conn {
    cx.metrics.record_refusal(error.kind);
    cx.refusals.record(&error);
    let request = error
        .request
        .map_or_else(|| "-".to_owned(), |id| id.to_string());
    log::info!(
        "event=refused request={request} kind={} ran={}",
        error.kind,
        error.ran
    );
    error.respond(conn)
}

/// Runs the request on the traffic threads, and answers once its first text or its end is known, so
/// that a refusal before any text is answered with an error status.
async fn answer_stream(cx: EntryCx, conn: Conn, writer: ResponseWriter, req: Request) -> Conn {
    let (tx, rx) = async_channel::unbounded();
    let (end_tx, end_rx) = async_channel::bounded(1);
    let id = req.spec.id;
    let started_at = now();
    let running = cx.clone();
    runtime::spawn(async move {
        let guard = InFlightGuard::new(&running.metrics);
        let text_tx = tx.clone();
        let end = request_run::run(&running, req, |text| {
            text_tx
                .try_send(writer.chunk(&String::from_utf8_lossy(&text)))
                .is_ok()
        });
        let end = end.await;
        running.metrics.record_latency(now().since(started_at));
        finish_stream(&tx, &end, id);
        let _ = end_tx.try_send(end);
        drop(guard);
    });
    match stream_start(&rx, &end_rx).await {
        StreamStart::Text(text) => stream(conn, text, rx),
        StreamStart::Refused(error) => refuse(&cx, error.for_request(id), conn),
    }
}

/// The first result of a streamed request.
enum StreamStart {
    Text(Bytes),
    Refused(HttpError),
}

async fn stream_start(texts: &Receiver<Bytes>, ends: &Receiver<RequestEnd>) -> StreamStart {
    if let Ok(text) = texts.recv().await {
        return StreamStart::Text(text);
    }
    let end = ends.recv().await.ok();
    let error = end.and_then(|end| answer_text(&end).err());
    StreamStart::Refused(error.unwrap_or_else(|| HttpError::new(ErrorKind::Internal, Ran::Unknown)))
}

/// Ends the stream: with the end mark if the answer is complete, with the error if text was sent
/// before, and with nothing if the caller gets an error status instead.
fn finish_stream(tx: &Sender<Bytes>, end: &RequestEnd, id: RequestId) {
    match answer_text(end) {
        Ok(_) => drop(tx.try_send(Bytes::from_static(b"data: [DONE]\n\n"))),
        Err(error) if end.text_sent => {
            let body = serde_json::to_string(&error.for_request(id).body()).unwrap_or_default();
            let _ = tx.try_send(Bytes::from(format!("data: {body}\n\n")));
        }
        Err(_) => {}
    }
    tx.close();
}

fn stream(conn: Conn, first: Bytes, rest: Receiver<Bytes>) -> Conn {
    let first = futures_util::stream::once(async move { first });
    let reader = first.chain(rest).map(Ok::<Bytes, std::io::Error>);
    let body = HttpBody::new_streaming(Box::pin(reader).into_async_read(), None);
    conn.with_response_header("content-type", "text/event-stream")
        .with_response_header("cache-control", "no-store")
        .with_status(Status::Ok)
        .with_body(body)
        .halt()
}

impl ResponseWriter {
    fn full(&self, text: &str, tokens: u64) -> Value {
        let choice = match self.format {
            ApiFormat::Completion => {
                value!({ "index": 0, "text": text, "finish_reason": "length" })
            }
            ApiFormat::Chat => value!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }),
        };
        value!({
            "id": self.id,
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        })
    }

    fn chunk(&self, text: &str) -> Bytes {
        let choice = match self.format {
            ApiFormat::Completion => value!({ "index": 0, "text": text }),
            ApiFormat::Chat => value!({ "index": 0, "delta": { "content": text } }),
        };
        let body = value!({
            "id": self.id,
            "object": self.object(true),
            "model": self.model,
            "choices": [choice],
        });
        Bytes::from(format!("data: {body}\n\n"))
    }

    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.format, is_chunk) {
            (ApiFormat::Completion, _) => "text_completion",
            (ApiFormat::Chat, false) => "chat.completion",
            (ApiFormat::Chat, true) => "chat.completion.chunk",
        }
    }
}
