//! Runs one request at an entry through all its attempts.

use crate::agent::agent_status::load_from_wire;
use crate::agent::pace::Pace;
use crate::entry::attempt_event::AttemptEvent;
use crate::entry::attempt_progress::AttemptProgress;
use crate::entry::choose_call::ChooseCall;
use crate::entry::entry_cx::EntryCx;
use crate::entry::inflight_attempts::AttemptEvents;
use crate::entry::previous_failure::PreviousFailure;
use crate::entry::request::Request;
use crate::entry::request_end::RequestEnd;
use crate::entry::request_frames::parse_chunk;
use crate::entry::request_log;
use crate::entry::route::Route;
use crate::entry::route_end::RouteEnd;
use crate::entry::route_progress::RouteProgress;
use crate::entry::tracking::Tracking;
use crate::prelude::*;
use bytes::Bytes;
use futures_lite::FutureExt;
use oleanderlock::assembly_limits::AssemblyLimits;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::chunk_outcome::ChunkOutcome;
use oleanderlock::endpoint::EndpointKey;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::request_tracker::{RequestTracker, TrackAction, TrackConfig, TrackEvent};
use oleanderlock::stream_assembly::StreamAssembly;
use std::time::Duration;

/// Polls for a new connection before the attempt counts as not sent.
const RECONNECT_POLLS: u32 = 30;
/// Time between two polls for a new connection.
const RECONNECT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a request to its end.
///
/// `on_data` gets the text of an engine as it arrives, in order and each part once, whichever
/// attempt made it; it returns false when the caller is gone.
pub async fn run(cx: &EntryCx, req: Request, on_data: impl FnMut(Bytes) -> bool) -> RequestEnd {
    run_tracked(cx, req, Tracking::default(), on_data).await
}

/// Runs a request like [`run`]; `tracking` shares its progress and relates it to other requests
/// for the same work.
pub async fn run_tracked(
    cx: &EntryCx,
    req: Request,
    tracking: Tracking,
    on_data: impl FnMut(Bytes) -> bool,
) -> RequestEnd {
    request_log::accepted(&req);
    let started_at = now();
    let (tracker, action) = RequestTracker::open(req.spec, TrackConfig::default());
    let events = cx.inflight.open();
    let mut run = Run {
        cx,
        events,
        tracker,
        assembly: None,
        route: None,
        used_endpoints: tracking.avoid,
        min_version: tracking.min_version,
        progress: tracking.progress,
        attempt_began_at: now(),
        pace: None,
        retry_reason: None,
        retry_after: None,
        text_sent: false,
        last_sent: None,
        on_data,
        req,
    };
    let outcome = run.drive(action).await;
    let request = run.req.spec.id;
    request_log::answered(
        request,
        &outcome,
        run.tracker.attempts(),
        now().since(started_at),
    );
    RequestEnd {
        outcome,
        text_sent: run.text_sent,
        answer: run.assembly.as_ref().and_then(StreamAssembly::whole),
    }
}

/// A request in progress.
struct Run<'a, F> {
    cx: &'a EntryCx,
    req: Request,
    events: AttemptEvents,
    tracker: RequestTracker,
    assembly: Option<StreamAssembly>,
    /// Where the current attempt runs; `None` between attempts.
    route: Option<Route>,
    /// Endpoints to avoid: those of earlier attempts and of other requests for the same work.
    used_endpoints: Vec<EndpointKey>,
    progress: AttemptProgress,
    min_version: Option<Version>,
    attempt_began_at: Millis,
    pace: Option<Pace>,
    /// Why the latest attempt failed; taken when an endpoint is chosen for the next one.
    retry_reason: Option<ErrorKind>,
    retry_after: Option<Millis>,
    text_sent: bool,
    /// Ticket of the latest submission; sending it again queries its state at the agent.
    last_sent: Option<Ticket>,
    on_data: F,
}

/// Cancels the current attempt of a request that is dropped before its end, and takes it off its
/// endpoint's count of attempts in flight.
impl<F> Drop for Run<'_, F> {
    fn drop(&mut self) {
        if !self.tracker.is_done() {
            request_log::caller_gone(self.req.spec.id);
        }
        if let Some(TrackAction::Bury(ticket)) = self.tracker.step(now(), TrackEvent::CallerGone) {
            self.abandon(ticket);
        }
        self.end_attempt(AttemptEnd::Cancelled, None, 0);
    }
}

impl<F: FnMut(Bytes) -> bool> Run<'_, F> {
    async fn drive(&mut self, first: TrackAction) -> Outcome {
        let mut action = Some(first);
        loop {
            let event = match action {
                Some(TrackAction::Answer(outcome)) => return self.with_retry_after(outcome),
                Some(TrackAction::Choose) => Some(self.choose().await),
                Some(TrackAction::Send(ticket)) => self.send(ticket).await,
                Some(TrackAction::Bury(ticket)) => {
                    self.bury(ticket);
                    None
                }
                None => None,
            };
            if self.tracker.is_done() {
                return Outcome::failed(ErrorKind::Cancelled, Ran::Unknown);
            }
            let event = match event {
                Some(event) => event,
                None => self.next_event().await,
            };
            action = self.tracker.step(now(), event);
        }
    }

    /// Adds the latest known retry time to an error outcome that has none.
    fn with_retry_after(&self, mut outcome: Outcome) -> Outcome {
        if outcome.error.is_some() && outcome.retry_after.is_none() {
            outcome.retry_after = self.retry_after;
        }
        outcome
    }

    async fn choose(&mut self) -> TrackEvent {
        self.end_attempt(AttemptEnd::Failed, None, 0);
        let reason = self.retry_reason.take();
        let previous_failure = reason.map(|error| PreviousFailure {
            error,
            attempts: self.tracker.attempts(),
            retry_after: self.retry_after.take().unwrap_or_default(),
        });
        let answer = self.cx.choose(|reply| ChooseCall {
            target: self.req.target.clone(),
            prefix: self.req.prefix,
            deadline: self.req.spec.deadline,
            kind: self.req.kind,
            class: self.req.class.clone(),
            excluded: self.used_endpoints.clone(),
            min_version: self.min_version,
            previous_failure,
            reply,
        });
        match answer.await {
            Ok(route) => {
                if let Some(error) = reason {
                    self.cx.metrics.record_retry(error);
                }
                let incarnation = route.incarnation;
                self.begin_attempt(route);
                TrackEvent::Route(incarnation)
            }
            Err(no_route) => {
                self.retry_after.get_or_insert(no_route.retry_after);
                TrackEvent::NoRoute(no_route.kind)
            }
        }
    }

    fn begin_attempt(&mut self, route: Route) {
        self.used_endpoints.push(route.key);
        self.progress.begin(now(), route.key);
        self.route = Some(route);
        self.attempt_began_at = now();
        self.pace = None;
    }

    /// Sends the submission of an attempt; returns an event only if it could not be sent.
    async fn send(&mut self, ticket: Ticket) -> Option<TrackEvent> {
        if self
            .route
            .as_ref()
            .is_none_or(|route| route.incarnation != ticket.incarnation)
        {
            let agent = self.req.agent.as_deref().unwrap_or_default();
            match self.cx.locate(ticket.incarnation, agent).await {
                Some(route) => self.begin_attempt(route),
                None => return Some(TrackEvent::NotSent(ticket)),
            }
        }
        let resume = self.prepare_assembly(ticket);
        let route = self.route.clone()?;
        if self.last_sent == Some(ticket) {
            self.wait_for_connection(&route.link).await;
        }
        self.last_sent = Some(ticket);
        self.events.register(ticket, &route.link);
        let submit = self.req.submission(ticket, &route, resume);
        let sent = self
            .cx
            .peers
            .send_connected(&route.link, Body::Submit(submit));
        if let Err(error) = sent {
            log::debug!(
                "event=not-sent request={} reason=\"{error}\"",
                ticket.request
            );
            self.end_attempt(AttemptEnd::Refused, None, 0);
            self.retry_reason = Some(ErrorKind::NoEndpoint);
            return Some(TrackEvent::NotSent(ticket));
        }
        request_log::sent(ticket, &route.name);
        None
    }

    /// Waits for a connection that just broke to be made again, so that the same ticket can be sent
    /// again: the agent's answer shows whether it has the attempt.
    async fn wait_for_connection(&self, link: &str) {
        for _ in 0..RECONNECT_POLLS {
            if self.cx.peers.is_connected(link) {
                return;
            }
            smol::Timer::after(RECONNECT_POLL_INTERVAL).await;
        }
    }

    /// Prepares the assembly for the chunks of an attempt; returns the tokens that it has already,
    /// from which the engine resumes.
    fn prepare_assembly(&mut self, ticket: Ticket) -> u64 {
        match self.assembly.as_mut() {
            None => {
                self.assembly = Some(StreamAssembly::new(ticket, AssemblyLimits::default()));
                0
            }
            Some(assembly) if assembly.ticket() == ticket => assembly.tokens(),
            Some(assembly) => assembly.resume(ticket).map_or(0, |point| point.offset),
        }
    }

    async fn next_event(&mut self) -> TrackEvent {
        let wake_at = self.tracker.wake_at().unwrap_or(self.req.spec.deadline);
        let wait = wake_at.since(now()).max(Millis(1));
        let timer = async {
            smol::Timer::after(Duration::from(wait)).await;
            None
        };
        let event = self.events.next().or(timer).await;
        match event {
            Some(event) => self.on_attempt_event(event),
            None => TrackEvent::Tick,
        }
    }

    /// Translates an event of an attempt into one for the tracker.
    fn on_attempt_event(&mut self, event: AttemptEvent) -> TrackEvent {
        match event {
            AttemptEvent::Chunk(chunk) => self.on_chunk(chunk),
            AttemptEvent::Finished(ticket, outcome, load) => self.on_finish(ticket, outcome, load),
            AttemptEvent::Buried(ticket, ran) => TrackEvent::Buried(ticket, ran),
            AttemptEvent::Disconnected(ticket) => {
                self.retry_reason = Some(ErrorKind::AgentLost);
                TrackEvent::Disconnected(ticket)
            }
            AttemptEvent::AgentGone(incarnation) => {
                self.retry_reason = Some(ErrorKind::AgentLost);
                TrackEvent::AgentGone(incarnation)
            }
        }
    }

    fn on_chunk(&mut self, chunk: wire::Chunk) -> TrackEvent {
        let (Some(chunk), Some(assembly)) = (parse_chunk(chunk), self.assembly.as_mut()) else {
            return TrackEvent::Tick;
        };
        let ticket = chunk.ticket;
        for version in chunk.segments.iter().filter_map(|segment| segment.version) {
            self.progress.record_version(version);
        }
        let tokens = chunk.tokens;
        match assembly.chunk(chunk) {
            Ok(ChunkOutcome::OtherAttempt) => return TrackEvent::Tick,
            Ok(_) => {}
            Err(error) => {
                log::warn!(
                    "event=bad-chunk request={} reason=\"{error}\"",
                    ticket.request
                );
                return self.fail_attempt(ticket);
            }
        }
        self.progress.add_tokens(now(), tokens);
        if let Some(route) = &self.route {
            Pace::record(&mut self.pace, tokens, |elapsed, units| {
                self.cx.report_progress(RouteProgress {
                    key: route.key,
                    elapsed,
                    units,
                });
            });
        }
        if let Some(released) = assembly.release() {
            self.text_sent = true;
            if !(self.on_data)(released.data) {
                return TrackEvent::CallerGone;
            }
        }
        TrackEvent::Started(ticket)
    }

    fn on_finish(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        load: Option<wire::Load>,
    ) -> TrackEvent {
        self.retry_reason = outcome.error;
        if outcome.retry_after.is_some() {
            self.retry_after = outcome.retry_after;
        }
        if outcome.error.is_some() || self.req.is_plain() {
            let end = attempt_end(&outcome);
            let units = u64::from(outcome.error.is_none());
            self.end_attempt(end, load.as_ref(), units);
            return TrackEvent::Finished(ticket, outcome);
        }
        let finished = self
            .assembly
            .as_mut()
            .map(|it| it.finish(ticket, outcome.total));
        match finished {
            Some(Ok(ChunkOutcome::OtherAttempt)) | None => TrackEvent::Tick,
            Some(Ok(_)) if self.assembly.as_ref().is_some_and(StreamAssembly::is_whole) => {
                let units = self.pace.as_ref().map_or(0, Pace::unreported);
                self.end_attempt(AttemptEnd::Finished, load.as_ref(), units);
                TrackEvent::Finished(ticket, outcome)
            }
            // Chunks were lost on the way, so the answer is incomplete.
            Some(_) => self.fail_attempt(ticket),
        }
    }

    fn fail_attempt(&mut self, ticket: Ticket) -> TrackEvent {
        self.retry_reason = Some(ErrorKind::EndpointFailed);
        self.end_attempt(AttemptEnd::Failed, None, 0);
        let outcome = Outcome::failed(ErrorKind::EndpointFailed, Ran::Yes);
        TrackEvent::Finished(ticket, outcome)
    }
}

impl<F> Run<'_, F> {
    /// Asks the agent to bury the attempt: never to start it, and to answer whether it has.
    fn bury(&self, ticket: Ticket) {
        let Some(route) = &self.route else { return };
        let bury = self.req.bury_message(ticket, route);
        let _ = self.cx.peers.send_connected(&route.link, Body::Bury(bury));
    }

    /// Cancels an attempt whose caller is gone. Work that must not be repeated is only buried: if it
    /// runs already, it runs to its end.
    fn abandon(&self, ticket: Ticket) {
        if !self.req.spec.idempotent {
            return self.bury(ticket);
        }
        let Some(route) = &self.route else { return };
        let cancel = wire::Cancel {
            ticket: Some(ticket.into()),
        };
        let _ = self
            .cx
            .peers
            .send_connected(&route.link, Body::Cancel(cancel));
    }

    /// Reports the end of the current attempt to the control thread, if there is one.
    fn end_attempt(&mut self, end: AttemptEnd, load: Option<&wire::Load>, units: u64) {
        let Some(route) = self.route.take() else {
            return;
        };
        let since = self.pace.map_or(self.attempt_began_at, |pace| pace.since);
        self.cx.report_end(RouteEnd {
            key: route.key,
            end,
            load: load.map(load_from_wire),
            elapsed: now().since(since),
            units,
        });
    }
}

fn attempt_end(outcome: &Outcome) -> AttemptEnd {
    match outcome.error {
        None => AttemptEnd::Finished,
        Some(ErrorKind::EndpointFailed | ErrorKind::AgentLost) => AttemptEnd::Failed,
        Some(_) => AttemptEnd::Refused,
    }
}
