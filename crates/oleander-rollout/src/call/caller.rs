//! Sends calls to services, with retries and hedging.
//!
//! An endpoint may be full, gone or slow, or lose the response to a call that it ran. If an
//! idempotent call has no response after a part of its latency objective, a hedge attempt is sent
//! to a second endpoint.

use super::attempt_message::attempt_message;
use super::attempt_outcome::AttemptOutcome;
use super::call_outcome::CallOutcome;
use super::call_progress::CallProgress;
use super::call_request::CallRequest;
use super::caller_identity::CallerIdentity;
use super::candidate_set::CandidateSet;
use super::crash_registry::CrashRegistry;
use super::demand::Demand;
use super::demand_guard::DemandGuard;
use super::endpoint_loads::EndpointLoads;
use super::endpoint_response::EndpointResponse;
use super::even_loads::EvenLoads;
use super::leaving_registry::LeavingRegistry;
use super::limit_registry::LimitRegistry;
use super::limit_share::share_of_calls;
use super::not_run::NotRun;
use super::not_run_reason::NotRunReason;
use super::read_response::read_response;
use super::request_kind::RequestKind;
use super::response_class::{ResponseClass, classify};
use crate::feature_settings::FeatureSettings;
use crate::http::destination::Destination;
use crate::http::exchange::Exchange;
use crate::http::pool::Pool;
use crate::http::reuse::Reuse;
use crate::http::send_error::SendError;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use futures_util::StreamExt as _;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::headers;
use oleanderlock::routing::after_failure::AfterFailure;
use oleanderlock::routing::announcer::Announcer;
use oleanderlock::routing::attempt_failure::AttemptFailure;
use oleanderlock::routing::call_state::CallState;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::retry_rule::after_failure;
use std::cell::{Cell, LazyCell};
use std::pin::pin;
use std::rc::Rc;

/// Timeout of opening a connection to an endpoint.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// The hedge delay is the latency objective divided by this.
const HEDGE_DELAY_DIVISOR: u64 = 2;
/// Shortest hedge delay.
const HEDGE_DELAY_MIN: Millis = Millis(60);

/// Longest time that a call waits for the rate limit of an endpoint; it waits for half of the time
/// that it has left at most.
const LIMIT_DELAY_MAX: Millis = Millis(1000);
/// Time after which a caller may retry when this process has no share in any rate limit for now.
const LIMIT_TURN_RETRY_AFTER: Millis = Millis(3000);
/// Sends calls to services and keeps connections to their endpoints open.
#[derive(Debug)]
pub struct Caller {
    pub(super) view: SharedView,
    pub(super) pool: Rc<Pool>,
    loads: Rc<EndpointLoads>,
    pub(super) leaving: Rc<LeavingRegistry>,
    pub(super) demand: Rc<Demand>,
    pub(super) limits: Rc<LimitRegistry>,
    pub(super) crashes: Rc<CrashRegistry>,
    identity: CallerIdentity,
    pub(super) metrics: Metrics,
}

impl Caller {
    /// Returns a caller that uses the endpoints in `view` and prefers those in the failure domain of
    /// `identity`; what it learns of crashes goes to `store`.
    pub fn new(
        view: SharedView,
        identity: CallerIdentity,
        store: Rc<StoreClient>,
        metrics: Metrics,
        features: FeatureSettings,
    ) -> Rc<Self> {
        let even = || EvenLoads::new(identity.clone(), metrics.clone());
        let even = features.even_load.then(even);
        Rc::new(Self {
            crashes: CrashRegistry::new(view.clone(), store, metrics.clone()),
            view,
            pool: Pool::new(CONNECT_TIMEOUT),
            loads: Rc::new(EndpointLoads::new(even)),
            leaving: Rc::default(),
            demand: Rc::default(),
            limits: Rc::new(LimitRegistry::new(metrics.clone())),
            identity,
            metrics,
        })
    }

    /// Returns the endpoints that have said that they are leaving.
    pub fn leaving(&self) -> &Rc<LeavingRegistry> {
        &self.leaving
    }

    /// Returns the calls to services by failure domain.
    pub fn demand(&self) -> &Rc<Demand> {
        &self.demand
    }

    /// Returns the requests under which endpoints have crashed.
    pub fn crashes(&self) -> &Rc<CrashRegistry> {
        &self.crashes
    }

    /// Returns the rate limits that endpoints have named.
    pub fn limits(&self) -> &Rc<LimitRegistry> {
        &self.limits
    }

    /// Sends a call to one endpoint after the other until one responds, no attempt is allowed any
    /// more or the deadline passes.
    pub async fn call(&self, req: &CallRequest) -> CallOutcome {
        if let Some(not_run) = self.crashes.refusal(req) {
            return CallOutcome::NotRun(not_run);
        }
        let mut progress = CallProgress::default();
        let left = req.deadline.since(now());
        let outcome = within(left, self.run(req, &mut progress)).await;
        let outcome = outcome.unwrap_or_else(|| match progress.failure.take() {
            Some(response) => CallOutcome::Answered(response),
            None if progress.may_have_run || progress.attempts_made > 0 => CallOutcome::TimedOut,
            None => CallOutcome::NotRun(NotRun {
                retry_after: Millis::ZERO,
                reason: NotRunReason::NotRun,
                full: progress.full,
            }),
        });
        if !matches!(outcome, CallOutcome::Answered(_)) {
            event(log::Level::Info, "call-gave-up", || {
                let tried = progress.tried.join(",");
                let may_have_run = progress.may_have_run || progress.attempts_made > 0;
                format!(
                    "request={} tried={tried} may_have_run={may_have_run}",
                    req.id
                )
            });
        }
        outcome
    }

    async fn run(&self, req: &CallRequest, progress: &mut CallProgress) -> CallOutcome {
        let mut running: FuturesUnordered<LocalBoxFuture<'_, (String, AttemptOutcome)>> =
            FuturesUnordered::new();
        let hedge_delay = Millis(req.objective.0 / HEDGE_DELAY_DIVISOR).max(HEDGE_DELAY_MIN);
        loop {
            if running.is_empty() {
                let Some(endpoint) = self.next_endpoint(req, RequestKind::Call, progress).await
                else {
                    return give_up(req, progress);
                };
                running.push(Box::pin(self.attempt(req, RequestKind::Call, endpoint)));
            }
            let first = match select(running.next(), pin!(sleep(hedge_delay))).await {
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
            let Some((instance, outcome)) = ended else {
                continue;
            };
            if let Some(response) = self.record_outcome(req, progress, &instance, outcome) {
                return CallOutcome::Answered(response);
            }
        }
    }

    /// Sends an idempotent call to a second endpoint while the first has not responded.
    fn hedge<'a>(
        &'a self,
        req: &'a CallRequest,
        progress: &mut CallProgress,
        running: &mut FuturesUnordered<LocalBoxFuture<'a, (String, AttemptOutcome)>>,
    ) {
        if !req.repeatable || running.len() > 1 {
            return;
        }
        // Its response has arrived and finds no room.
        if req.memory.is_waiting() {
            return;
        }
        // Two endpoints could crash at once.
        if self.crashes.is_suspect(req) {
            return;
        }
        // A second request to the endpoint that has not responded to the first would not help.
        // Nor would more load on an endpoint that has named a limit.
        let unlimited = |entry: &EndpointEntry| {
            let limited = self.limits.is_limited(&entry.instance);
            (!limited).then_some(Millis::ZERO)
        };
        let wanted = (RequestKind::Hedge, CandidateSet::Untried);
        let chosen = self.choose_endpoint(req, progress, wanted, unlimited);
        if let Some(endpoint) = chosen {
            self.metrics.record_retry("no-answer-yet");
            running.push(Box::pin(self.attempt(req, RequestKind::Hedge, endpoint)));
        }
    }

    /// Records the outcome of an attempt; returns the response if the call ends with it.
    pub(super) fn record_outcome(
        &self,
        req: &CallRequest,
        progress: &mut CallProgress,
        instance: &str,
        outcome: AttemptOutcome,
    ) -> Option<EndpointResponse> {
        progress.response_lost = matches!(
            outcome,
            AttemptOutcome::Lost(_) | AttemptOutcome::Unusable(_) | AttemptOutcome::Crashed
        );
        if let Some(usage) = &req.usage {
            match &outcome {
                AttemptOutcome::Answer(_) => usage.record_answer(instance),
                AttemptOutcome::Failure(_) => usage.record_failed(instance),
                AttemptOutcome::NotRun(_) => usage.record_not_run(instance),
                AttemptOutcome::Crashed | AttemptOutcome::Lost(_) | AttemptOutcome::Unusable(_) => {
                    usage.record_lost(instance)
                }
            }
        }
        let reason = match outcome {
            AttemptOutcome::Answer(response) => {
                self.crashes.clear(req);
                return Some(response);
            }
            AttemptOutcome::Failure(mut response) => {
                self.crashes.clear(req);
                let reason = format!("status {}", response.head.status.as_u16());
                progress.may_have_run = true;
                if response.head.status == StatusCode::INTERNAL_SERVER_ERROR {
                    progress.failures += 1;
                }
                response.failures = progress.failures;
                event(log::Level::Info, "attempt-failure-counted", || {
                    let signature = response.head.headers.get(headers::SIGNATURE);
                    format!(
                        "request={} instance={instance} status={} failures={} first_on_connection={} signature={signature:?}",
                        req.id,
                        response.head.status.as_u16(),
                        response.failures,
                        response.first_on_connection
                    )
                });
                progress.failure = Some(response);
                self.metrics.record_retry("endpoint-failure");
                reason
            }
            AttemptOutcome::NotRun(reason) => {
                progress.attempts_made = progress.attempts_made.saturating_sub(1);
                progress.full |= reason == "full";
                self.metrics.record_retry(reason);
                reason.to_owned()
            }
            AttemptOutcome::Crashed => {
                progress.may_have_run = true;
                progress.crashes += 1;
                self.metrics.record_retry("endpoint-crashed");
                "endpoint-crashed".to_owned()
            }
            AttemptOutcome::Lost(reason) | AttemptOutcome::Unusable(reason) => {
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

    /// Chooses the endpoint of the next attempt and waits until its rate limit allows the attempt;
    /// `None` if no further attempt is allowed or no endpoint is left.
    pub(super) async fn next_endpoint(
        &self,
        req: &CallRequest,
        kind: RequestKind,
        progress: &mut CallProgress,
    ) -> Option<EndpointEntry> {
        if progress.crashes > 0 && !self.crashes.may_retry(req, progress.crashes).await {
            return None;
        }
        let share =
            LazyCell::new(|| share_of_calls(&self.view.get(), &self.identity, &req.service));
        let longest = Millis(req.deadline.since(now()).0 / 2).min(LIMIT_DELAY_MAX);
        let earliest = Cell::new(None::<Millis>);
        let delay = |entry: &EndpointEntry| {
            let delay = self.limits.delay(&entry.instance, || *share);
            let known = earliest.get().unwrap_or(Millis::MAX);
            earliest.set(Some(known.min(delay.unwrap_or(LIMIT_TURN_RETRY_AFTER))));
            delay.filter(|delay| *delay <= longest)
        };
        let wanted = (kind, progress.candidates());
        let chosen = self.choose_endpoint(req, progress, wanted, delay);
        let Some(endpoint) = chosen else {
            progress.limit_delay = earliest.get().filter(|delay| *delay > Millis::ZERO);
            return None;
        };
        let delay = self.limits.reserve(&endpoint.instance, || *share);
        if let Some(delay) = delay.filter(|delay| *delay > Millis::ZERO) {
            self.metrics.record_latency("limit-delay", delay);
            sleep(delay).await;
        }
        Some(endpoint)
    }

    fn choose_endpoint(
        &self,
        req: &CallRequest,
        progress: &mut CallProgress,
        (kind, candidates): (RequestKind, CandidateSet),
        limit_delay: impl Fn(&EndpointEntry) -> Option<Millis>,
    ) -> Option<EndpointEntry> {
        let view = self.view.get();
        let choose = |tried: &[String]| {
            let ready = view.endpoints.ready(&req.service);
            let staying =
                ready.filter(|entry| !self.leaving.contains(entry) && req.may_run_at(entry));
            let allowed = staying.filter_map(|entry| Some((entry, limit_delay(entry)?)));
            match &self.loads.even {
                // A stream runs for longer than a call; its choice follows other rules.
                Some(even) if kind != RequestKind::Stream => {
                    let all = self.loads.candidates(allowed);
                    let connected =
                        |entry: &EndpointEntry| self.pool.is_connected(&Destination::of(entry));
                    let request = (kind, req.id.as_str());
                    let chosen = even.choose(all, tried, view.caller_rank, connected, request);
                    chosen.cloned()
                }
                _ => self.loads.choose(allowed, &self.identity.domain, tried),
            }
        };
        let mut chosen = choose(&progress.tried);
        if chosen.is_none() && candidates == CandidateSet::All && req.repeatable {
            chosen = choose(&[]);
        }
        let call = CallState {
            repeatable: req.repeatable,
            attempts_made: progress.attempts_made,
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
        progress.attempts_made += 1;
        Some(endpoint)
    }

    async fn attempt(
        &self,
        req: &CallRequest,
        kind: RequestKind,
        endpoint: EndpointEntry,
    ) -> (String, AttemptOutcome) {
        let started_at = now();
        let in_flight = self.loads.start_call(&endpoint);
        let demand = self.demand.start(&endpoint);
        let outcome = self.exchange(req, kind, &endpoint).await;
        let outcome = self.check_for_crash(req, &endpoint, outcome).await;
        in_flight.end(&outcome);
        if matches!(outcome, AttemptOutcome::NotRun("full")) {
            demand.iter().for_each(DemandGuard::refuse);
        }
        drop(demand);
        let now = now();
        self.loads
            .update(&endpoint.instance, |load| match &outcome {
                AttemptOutcome::Answer(_) => load.record_answer(now.since(started_at)),
                AttemptOutcome::NotRun("full") => load.record_full(now),
                AttemptOutcome::NotRun("leaving" | "gone" | "deadline" | "unconfirmed") => {}
                AttemptOutcome::Failure(_) => {}
                AttemptOutcome::NotRun(_)
                | AttemptOutcome::Lost(_)
                | AttemptOutcome::Unusable(_)
                | AttemptOutcome::Crashed => load.record_failure(now),
            });
        (endpoint.instance, outcome)
    }

    async fn exchange(
        &self,
        req: &CallRequest,
        kind: RequestKind,
        endpoint: &EndpointEntry,
    ) -> AttemptOutcome {
        let sent_at = now();
        let (class, exchange) = match self.open_at(req, kind, endpoint).await {
            Ok(opened) => opened,
            Err(outcome) => return outcome,
        };
        let on_whole = |headers: &HeaderMap| {
            let request = (kind, sent_at);
            self.limits.read_whole(headers, &endpoint.instance, request);
        };
        read_response(class, exchange, &req.memory, on_whole).await
    }

    /// Tells a lost response from a crash of the endpoint.
    pub(super) async fn check_for_crash(
        &self,
        req: &CallRequest,
        endpoint: &EndpointEntry,
        outcome: AttemptOutcome,
    ) -> AttemptOutcome {
        match outcome {
            AttemptOutcome::Lost(_) if self.crashes.record_if_down(req, endpoint).await => {
                AttemptOutcome::Crashed
            }
            outcome => outcome,
        }
    }

    /// Sends a call to an endpoint and waits for the head of its response, which it classifies.
    pub(super) async fn open_at(
        &self,
        req: &CallRequest,
        kind: RequestKind,
        endpoint: &EndpointEntry,
    ) -> Result<(ResponseClass, Exchange), AttemptOutcome> {
        let to = Destination::of(endpoint);
        let asked = unix_ms();
        let build = || self.attempt_message(req, kind, endpoint);
        let reuse = Reuse::OncePerId(&req.id);
        let sent = self.pool.send_built(&to, reuse, build).await;
        let mut exchange = sent.map_err(|error| match error {
            SendError::Withheld { reason } => AttemptOutcome::NotRun(reason),
            SendError::NotSent { .. } => AttemptOutcome::NotRun("unreachable"),
            SendError::NoAnswer { reason } => AttemptOutcome::Lost(reason),
        })?;
        let instance = &endpoint.instance;
        let listed = endpoint.started_unix_ms;
        let announcer = Announcer::Listed { listed, asked };
        if self
            .leaving
            .read(&exchange.head.headers, instance, announcer)
        {
            exchange.close_after_body();
            self.pool.close_idle(&to);
        }
        let class = classify(&exchange, &req.id);
        let headers = &exchange.head.headers;
        match class {
            ResponseClass::OtherInstance => {}
            // It names a limit of the endpoint as well.
            ResponseClass::Foreign => self.limits.read_foreign(headers, instance, kind),
            _ => self.limits.read_head(headers, instance, kind),
        }
        Ok((class, exchange))
    }

    /// Builds the request of one attempt, as it is about to be sent.
    ///
    /// # Errors
    ///
    /// [`SendError::Withheld`] when the endpoint has said that it is leaving, the deadline has
    /// passed since the attempt was decided, as in a process that was paused, or a header value is
    /// invalid.
    fn attempt_message(
        &self,
        req: &CallRequest,
        kind: RequestKind,
        endpoint: &EndpointEntry,
    ) -> Result<Request<Full<Bytes>>, SendError> {
        if self.leaving.contains(endpoint) {
            return Err(SendError::Withheld { reason: "leaving" });
        }
        let view = self.view.get();
        let listed = view.endpoints.ready_entry(&endpoint.instance, &req.service);
        if !listed.is_some_and(|listed| req.may_run_at(listed)) {
            return Err(SendError::Withheld { reason: "gone" });
        }
        if req.deadline <= now() {
            return Err(SendError::Withheld { reason: "deadline" });
        }
        if !req.condition.holds() {
            return Err(SendError::Withheld {
                reason: "unconfirmed",
            });
        }
        let message = attempt_message(req, &endpoint.instance);
        let message = message.ok_or(SendError::Withheld {
            reason: "unsendable",
        })?;
        if let Some(usage) = &req.usage {
            usage.record_sent(&endpoint.instance);
        }
        self.limits.record_sent(&endpoint.instance, kind, &req.id);
        Ok(message)
    }
}

/// Returns the outcome of a call that may not be attempted again.
pub(super) fn give_up(req: &CallRequest, progress: &mut CallProgress) -> CallOutcome {
    if let Some(response) = progress.failure.take() {
        return CallOutcome::Answered(response);
    }
    let call = CallState {
        repeatable: req.repeatable,
        attempts_made: progress.attempts_made,
        attempts_max: req.attempts,
        may_have_run: progress.may_have_run,
        time_left: req.deadline.since(now()),
        has_candidate: false,
    };
    match after_failure(call, AttemptFailure::NotRun) {
        AfterFailure::RefuseNotRun(retry_after) => {
            CallOutcome::NotRun(match progress.limit_delay {
                Some(delay) => NotRun {
                    retry_after: delay,
                    reason: NotRunReason::RateLimit,
                    full: false,
                },
                None => NotRun {
                    retry_after,
                    reason: NotRunReason::NotRun,
                    full: progress.full,
                },
            })
        }
        AfterFailure::Again | AfterFailure::FailUnknown => CallOutcome::Unknown,
    }
}
