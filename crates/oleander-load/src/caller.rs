//! Sends the calls of a stream on schedule and collects what became of them.

use crate::outcome::{CallEnd, CallOutcome};
use crate::stream_cfg::{StreamCfg, StreamTarget};
use crate::stream_plan::{PlannedCall, Work};
use async_channel::Sender;
use oleander_daemon::http::error_body::ErrorBody;
use oleander_standins::api::{Api, ApiError, Reply};
use oleander_standins::judge;
use serde::Deserialize;
use serde_json::json;
use smol::Timer;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use trillium_client::{Conn, Method};
use trillium_smol::async_global_executor::spawn;

/// Longest wait for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Most calls of one stream in flight, well below the usual limit of open files.
const IN_FLIGHT_MAX: usize = 4000;

#[derive(Deserialize)]
struct CompletionAnswer {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

#[derive(Deserialize)]
struct ServiceAnswer {
    echo: String,
}

struct Caller {
    cfg: StreamCfg,
    calls: Vec<PlannedCall>,
    entries: Vec<Api>,
    origin: Instant,
    ended: Sender<CallOutcome>,
    in_flight: AtomicUsize,
}

/// Sends all calls at their intended times after `origin`, whatever became of earlier ones; each
/// outcome goes to `ended`, which closes after the last.
pub async fn send(
    cfg: StreamCfg,
    calls: Vec<PlannedCall>,
    entries: Vec<SocketAddr>,
    origin: Instant,
    ended: Sender<CallOutcome>,
) {
    let entries = entries
        .iter()
        .map(|address| Api::pooled(*address).with_timeout(CALL_TIMEOUT));
    let caller = Arc::new(Caller {
        cfg,
        calls,
        entries: entries.collect(),
        origin,
        ended,
        in_flight: AtomicUsize::new(0),
    });
    for number in 0..caller.calls.len() {
        Timer::at(caller.due(number)).await;
        let caller = Arc::clone(&caller);
        spawn(async move { caller.call(number).await }).detach();
    }
}

impl Caller {
    fn due(&self, number: usize) -> Instant {
        self.origin + Duration::from_micros(self.calls[number].at_us)
    }

    fn since_due(&self, number: usize) -> u64 {
        self.due(number).elapsed().as_micros() as u64
    }

    async fn call(&self, number: usize) {
        let lag_us = self.since_due(number);
        let work = &self.calls[number].work;
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let end = if in_flight >= IN_FLIGHT_MAX {
            CallEnd::Unsent
        } else {
            match self.send(number, work).await {
                Ok(reply) => end_of(work, &reply),
                Err(_) => CallEnd::Broken,
            }
        };
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let outcome = CallOutcome {
            number,
            latency_us: self.since_due(number),
            lag_us,
            end,
        };
        let _ = self.ended.try_send(outcome);
    }

    /// Sends a call as a balancer does: to each entry in turn, and to the next one only when a
    /// connection was refused, so that nothing was sent.
    async fn send(&self, number: usize, work: &Work) -> Result<Reply, ApiError> {
        let mut tried = 0;
        loop {
            let api = &self.entries[(number + tried) % self.entries.len()];
            let sent = api.send(self.conn(api, work)).await;
            tried += 1;
            match sent {
                Err(e) if is_refused(&e) && tried < self.entries.len() => {}
                sent => return sent,
            }
        }
    }

    fn conn(&self, api: &Api, work: &Work) -> Conn {
        let conn = match (&self.cfg.target, work) {
            (StreamTarget::Completion { model, .. }, Work::Completion { prompt, tokens }) => {
                let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
                api.conn(Method::Post, "/v1/completions")
                    .with_body(body.to_string())
            }
            (StreamTarget::Service { service, path }, Work::Service { body }) => {
                let path = format!("/v1/services/{service}/{path}");
                api.conn(Method::Post, &path).with_body(body.clone())
            }
            _ => unreachable!("a stream plans calls of its own target"),
        };
        conn.with_request_header("content-type", "application/json")
            .with_request_header("x-class", self.cfg.class.clone())
    }
}

fn is_refused(error: &ApiError) -> bool {
    let ApiError::Broken(trillium_client::Error::Io(error)) = error else {
        return false;
    };
    error.kind() == ErrorKind::ConnectionRefused
}

fn end_of(work: &Work, reply: &Reply) -> CallEnd {
    if reply.status == 200 {
        return if is_whole(work, reply) {
            CallEnd::Answered
        } else {
            CallEnd::Wrong
        };
    }
    let Ok(body) = serde_json::from_str::<ErrorBody>(&reply.body) else {
        return CallEnd::Broken;
    };
    CallEnd::Refused {
        kind: body.error.kind.parse().ok(),
        ran: body.error.ran,
    }
}

fn is_whole(work: &Work, reply: &Reply) -> bool {
    match work {
        Work::Completion { prompt, tokens } => {
            let answer: Option<CompletionAnswer> = reply.json().ok();
            let text = answer.and_then(|answer| answer.choices.into_iter().next());
            text.is_some_and(|choice| judge::versions(prompt, *tokens, &choice.text).is_some())
        }
        Work::Service { body } => {
            let answer: Option<ServiceAnswer> = reply.json().ok();
            answer.is_some_and(|answer| answer.echo == *body)
        }
    }
}
