//! Sends a call to a service until one endpoint has answered it.
//!
//! Load pattern: an endpoint may be full, gone, slow, or lose the answer of a call that it ran. An
//! idempotent call that has no answer by a part of its objective goes to a second endpoint as well.

use super::call_request::CallRequest;
use super::endpoint_answer::{EndpointAnswer, Verdict, judge};
use super::loads::Loads;
use crate::http::destination::Destination;
use crate::http::exchange::Exchange;
use crate::http::pool::Pool;
use crate::http::send_error::SendError;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use crate::store::shared_view::SharedView;
use futures_util::StreamExt as _;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use http::header::HeaderValue;
use http::{HeaderName, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::headers;
use oleanderlock::routing::after_failure::AfterFailure;
use oleanderlock::routing::attempt_failure::AttemptFailure;
use oleanderlock::routing::call_state::CallState;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::retry_rule::after_failure;
use std::pin::pin;
use std::rc::Rc;

/// Longest time to open a connection to an endpoint.
const CONNECT_LIMIT: Millis = Millis(300);
/// Greatest answer of a plain service, in bytes.
const ANSWER_MAX_BYTES: usize = 32 << 20;
/// Part of the objective after which an idempotent call goes to a second endpoint: one in this.
const HEDGE_PART: u64 = 2;
/// Shortest time before a call goes to a second endpoint.
const HEDGE_MIN: Millis = Millis(60);

/// What became of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// An endpoint's answer, successful or not.
    Answered(EndpointAnswer),
    /// The call has not run; the caller may come back after this time.
    NotRun(Millis),
    /// The call may have run; nobody knows its answer.
    Unknown,
    /// The time was up while an endpoint may have been at work.
    TimedOut,
}

/// What became of a request for a stream.
#[derive(Debug)]
pub enum StreamOutcome {
    /// An endpoint answers; its body is still to be read.
    Opened(Box<Exchange>),
    /// The request has not run; the caller may come back after this time.
    NotRun(Millis),
    /// The request may have run.
    Unknown,
}

/// Sends calls to services.
#[derive(Debug)]
pub struct Caller {
    view: SharedView,
    pool: Rc<Pool>,
    loads: Rc<Loads>,
    domain: String,
    metrics: Metrics,
}

enum AttemptEnd {
    Answer(EndpointAnswer),
    Failure(EndpointAnswer),
    NotRun(&'static str),
    Lost(String),
}

/// Among which endpoints the next attempt of an idempotent call chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Among {
    /// Those that have not been tried.
    Untried,
    /// Those that have not been tried, and all others if there are none.
    All,
}

/// The state of a call between its attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    sent: u32,
    may_have_run: bool,
    failures: u32,
    failure: Option<EndpointAnswer>,
    /// Whether the last attempt brought an answer that was broken, lost or not the call's own.
    answer_lost: bool,
}

impl Progress {
    /// An endpoint that lost an answer may bring the next one.
    fn among(&self) -> Among {
        if self.answer_lost {
            Among::All
        } else {
            Among::Untried
        }
    }
}

impl Caller {
    /// A caller of the endpoints in the view.
    pub fn new(view: SharedView, domain: String, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            view,
            pool: Pool::new(CONNECT_LIMIT),
            loads: Rc::default(),
            domain,
            metrics,
        })
    }

    /// Sends a call until one endpoint has answered it, or nothing more can be done in time.
    pub async fn call(&self, req: &CallRequest) -> CallOutcome {
        let mut progress = Progress::default();
        let left = req.deadline.since(now());
        let outcome = within(left, self.run(req, &mut progress)).await;
        let outcome = outcome.unwrap_or_else(|| match progress.failure.take() {
            Some(answer) => CallOutcome::Answered(answer),
            None if progress.may_have_run || progress.sent > 0 => CallOutcome::TimedOut,
            None => CallOutcome::NotRun(Millis::ZERO),
        });
        if !matches!(outcome, CallOutcome::Answered(_)) {
            event(log::Level::Info, "call-gave-up", || {
                let (tried, sent) = (progress.tried.join(","), progress.sent);
                let may_have_run = progress.may_have_run || sent > 0;
                format!(
                    "request={} tried={tried} may_have_run={may_have_run}",
                    req.id
                )
            });
        }
        outcome
    }

    /// Sends a request for a stream to one endpoint after the other until one has begun.
    pub async fn open_stream(&self, req: &CallRequest) -> StreamOutcome {
        let mut progress = Progress::default();
        while let Some(endpoint) = self.next_endpoint(req, &mut progress) {
            let left = req.deadline.since(now());
            let Some(opened) = within(left, self.open_at(req, &endpoint)).await else {
                return StreamOutcome::Unknown;
            };
            let end = match opened {
                Ok(exchange) => match judge(&exchange.head, &req.id) {
                    Verdict::NotRun => AttemptEnd::NotRun("full"),
                    Verdict::OtherInstance => AttemptEnd::NotRun("other-instance"),
                    Verdict::Foreign => AttemptEnd::Lost("an answer to another request".to_owned()),
                    Verdict::Unclear => {
                        AttemptEnd::Lost("a refusal that does not say not run".to_owned())
                    }
                    Verdict::Answer | Verdict::Failure => {
                        return StreamOutcome::Opened(Box::new(exchange));
                    }
                },
                Err(end) => end,
            };
            self.note(req, &mut progress, &endpoint.instance, end);
        }
        match give_up(req, &mut progress) {
            CallOutcome::NotRun(after) => StreamOutcome::NotRun(after),
            _ => StreamOutcome::Unknown,
        }
    }

    async fn run(&self, req: &CallRequest, progress: &mut Progress) -> CallOutcome {
        let mut running: FuturesUnordered<LocalBoxFuture<'_, (String, AttemptEnd)>> =
            FuturesUnordered::new();
        let hedge_after = Millis(req.objective.0 / HEDGE_PART).max(HEDGE_MIN);
        loop {
            if running.is_empty() {
                let Some(endpoint) = self.next_endpoint(req, progress) else {
                    return give_up(req, progress);
                };
                running.push(Box::pin(self.attempt(req, endpoint)));
            }
            let first = match select(running.next(), pin!(sleep(hedge_after))).await {
                Either::Left((ended, _)) => ended,
                Either::Right(_) => None,
            };
            let ended = match first {
                Some(ended) => Some(ended),
                None => {
                    self.hedge(req, progress, &mut running);
                    running.next().await
                }
            };
            let Some((instance, end)) = ended else {
                continue;
            };
            if let Some(answer) = self.note(req, progress, &instance, end) {
                return CallOutcome::Answered(answer);
            }
        }
    }

    /// Sends an idempotent call to one more endpoint while the first has not answered.
    fn hedge<'a>(
        &'a self,
        req: &'a CallRequest,
        progress: &mut Progress,
        running: &mut FuturesUnordered<LocalBoxFuture<'a, (String, AttemptEnd)>>,
    ) {
        if !req.kind.is_idempotent() || running.len() > 1 {
            return;
        }
        // A second request to an endpoint that has not answered the first would not help.
        if let Some(endpoint) = self.next_among(req, progress, Among::Untried) {
            self.metrics.record_retry("no-answer-yet");
            running.push(Box::pin(self.attempt(req, endpoint)));
        }
    }

    /// Takes the end of an attempt; returns the answer if it is one.
    fn note(
        &self,
        req: &CallRequest,
        progress: &mut Progress,
        instance: &str,
        end: AttemptEnd,
    ) -> Option<EndpointAnswer> {
        progress.answer_lost = matches!(end, AttemptEnd::Lost(_));
        let reason = match end {
            AttemptEnd::Answer(answer) => return Some(answer),
            AttemptEnd::Failure(mut answer) => {
                let reason = format!("status {}", answer.head.status.as_u16());
                progress.may_have_run = true;
                if answer.head.status == StatusCode::INTERNAL_SERVER_ERROR {
                    progress.failures += 1;
                }
                answer.failures = progress.failures;
                progress.failure = Some(answer);
                self.metrics.record_retry("endpoint-failure");
                reason
            }
            AttemptEnd::NotRun(reason) => {
                progress.sent = progress.sent.saturating_sub(1);
                self.metrics.record_retry(reason);
                reason.to_owned()
            }
            AttemptEnd::Lost(reason) => {
                progress.may_have_run = true;
                self.metrics.record_retry("answer-lost");
                reason
            }
        };
        event(log::Level::Info, "attempt-failed", || {
            format!("request={} instance={instance} reason=\"{reason}\"", req.id)
        });
        None
    }

    /// Chooses the endpoint of the next attempt, if one may follow.
    fn next_endpoint(&self, req: &CallRequest, progress: &mut Progress) -> Option<EndpointEntry> {
        let among = progress.among();
        self.next_among(req, progress, among)
    }

    fn next_among(
        &self,
        req: &CallRequest,
        progress: &mut Progress,
        among: Among,
    ) -> Option<EndpointEntry> {
        let view = self.view.get();
        let choose = |tried: &[String]| {
            let (endpoints, service) = (&view.endpoints, &req.service);
            self.loads.choose(endpoints, service, &self.domain, tried)
        };
        let mut chosen = choose(&progress.tried);
        if chosen.is_none() && among == Among::All && req.kind.is_idempotent() {
            chosen = choose(&[]);
        }
        let call = CallState {
            kind: req.kind,
            attempts_made: progress.sent,
            attempts_max: req.attempts,
            may_have_run: progress.may_have_run,
            time_left: req.deadline.since(now()),
            has_candidate: chosen.is_some(),
        };
        if after_failure(call, AttemptFailure::NotRun) != AfterFailure::Again {
            return None;
        }
        let endpoint = chosen?;
        progress.tried.push(endpoint.instance.clone());
        progress.sent += 1;
        Some(endpoint)
    }

    async fn attempt(&self, req: &CallRequest, endpoint: EndpointEntry) -> (String, AttemptEnd) {
        let began = now();
        let in_flight = self.loads.begin(&endpoint.instance);
        let end = self.exchange(req, &endpoint).await;
        drop(in_flight);
        let now = now();
        self.loads.change(&endpoint.instance, |load| match &end {
            AttemptEnd::Answer(_) => load.record_answer(now.since(began)),
            AttemptEnd::NotRun("full") => load.record_full(now),
            AttemptEnd::NotRun(_) | AttemptEnd::Lost(_) => load.record_failure(now),
            AttemptEnd::Failure(_) => {}
        });
        (endpoint.instance, end)
    }

    async fn exchange(&self, req: &CallRequest, endpoint: &EndpointEntry) -> AttemptEnd {
        match self.open_at(req, endpoint).await {
            Ok(exchange) => take_answer(req, exchange).await,
            Err(end) => end,
        }
    }

    /// Sends a call to an endpoint and waits for the head of its answer.
    async fn open_at(
        &self,
        req: &CallRequest,
        endpoint: &EndpointEntry,
    ) -> Result<Exchange, AttemptEnd> {
        let to = Destination {
            addr: endpoint.addr,
            instance: endpoint.instance.clone(),
        };
        let Some(message) = message(req, &endpoint.instance) else {
            return Err(AttemptEnd::NotRun("unsendable"));
        };
        self.pool
            .send(&to, message)
            .await
            .map_err(|fault| match fault {
                SendError::NotSent { .. } => AttemptEnd::NotRun("unreachable"),
                SendError::NoAnswer { reason } => AttemptEnd::Lost(reason),
            })
    }
}

fn give_up(req: &CallRequest, progress: &mut Progress) -> CallOutcome {
    if let Some(answer) = progress.failure.take() {
        return CallOutcome::Answered(answer);
    }
    let call = CallState {
        kind: req.kind,
        attempts_made: progress.sent,
        attempts_max: req.attempts,
        may_have_run: progress.may_have_run,
        time_left: req.deadline.since(now()),
        has_candidate: false,
    };
    match after_failure(call, AttemptFailure::NotRun) {
        AfterFailure::RefuseNotRun(retry_after) => CallOutcome::NotRun(retry_after),
        AfterFailure::Again | AfterFailure::FailUnknown => CallOutcome::Unknown,
    }
}

async fn take_answer(req: &CallRequest, exchange: Exchange) -> AttemptEnd {
    let verdict = judge(&exchange.head, &req.id);
    let whole = exchange.collect(ANSWER_MAX_BYTES).await;
    let answer = whole.map(|(head, body)| EndpointAnswer {
        head,
        body,
        failures: 0,
    });
    match (verdict, answer) {
        (Verdict::NotRun, _) => AttemptEnd::NotRun("full"),
        (Verdict::OtherInstance, _) => AttemptEnd::NotRun("other-instance"),
        (Verdict::Foreign, _) => AttemptEnd::Lost("an answer to another request".to_owned()),
        (Verdict::Unclear, _) => AttemptEnd::Lost("a refusal that does not say not run".to_owned()),
        (_, Err(fault)) => AttemptEnd::Lost(fault.to_string()),
        (Verdict::Failure, Ok(answer)) => AttemptEnd::Failure(answer),
        (Verdict::Answer, Ok(answer)) => AttemptEnd::Answer(answer),
    }
}

/// Builds the message of one attempt.
fn message(req: &CallRequest, instance: &str) -> Option<Request<Full<Bytes>>> {
    let left = req.deadline.since(now());
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = req.target.clone();
    let all = message.headers_mut();
    *all = req.headers.clone();
    let set = [
        (headers::REQUEST_ID, req.id.clone()),
        (headers::DEADLINE_MS, left.0.to_string()),
        (headers::EXPECT_INSTANCE, instance.to_owned()),
    ];
    for (name, value) in set {
        let value = HeaderValue::from_str(&value).ok()?;
        all.insert(HeaderName::from_static(name), value);
    }
    Some(message)
}
