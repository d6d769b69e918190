//! A stream of events that goes on at another endpoint when its endpoint breaks off.
//!
//! Load pattern: engines crash, spoil a part of their answers or hang while streams run. A stream of
//! a route that allows it goes on after its last whole event at an endpoint of the same software
//! version, in the response that the client already reads.

use super::attempt_outcome::AttemptOutcome;
use super::call_progress::CallProgress;
use super::call_request::CallRequest;
use super::caller::Caller;
use super::opened_stream::OpenedStream;
use super::stream_failure::StreamFailure;
use super::stream_limits::StreamLimits;
use crate::http::send_error::SendError;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::response::Parts;
use oleander_platform::event_buffer::EventBuffer;
use oleander_platform::headers::LAST_EVENT_ID;
use oleander_platform::stream_block::StreamBlock;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::stall_clock::StallClock;
use oleanderlock::routing::stream_origin::StreamOrigin;
use oleanderlock::routing::stream_position::StreamPosition;
use std::rc::Rc;

/// Longest event that is held back until it is whole, in bytes. The rest of a stream with a longer
/// one is passed on as it arrives, and not resumed.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Content type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// A stream of events that goes on at another endpoint when its endpoint breaks off.
#[derive(Debug)]
pub struct EventStream {
    caller: Rc<Caller>,
    req: CallRequest,
    progress: CallProgress,
    // `None` once the stream has ended or broken off.
    opened: Option<OpenedStream>,
    limits: StreamLimits,
    clock: StallClock,
    // Whether the first response says that it is an event stream; others must say so too then.
    says_events: bool,
    // Holds back what is not a whole event; `None` if bytes are passed on as they arrive.
    events: Option<EventBuffer>,
    position: StreamPosition,
    last_part_at: Millis,
    longest_pause: Millis,
    resumptions: u32,
    outcome: &'static str,
}

impl EventStream {
    /// Opens a stream whose client has the events up to `after_event`.
    ///
    /// # Errors
    ///
    /// Why no endpoint has opened it.
    pub async fn open(
        caller: &Rc<Caller>,
        req: CallRequest,
        after_event: u64,
        limits: StreamLimits,
    ) -> Result<Self, StreamFailure> {
        let mut progress = CallProgress::default();
        let opened = caller.open_stream(&req, &mut progress).await?;
        let head = &opened.exchange.head;
        let is_stream = head.status.is_success();
        let says_events = is_event_stream(head);
        let mut stream = Self {
            caller: Rc::clone(caller),
            says_events,
            events: (is_stream && (req.repeatable || says_events)).then(EventBuffer::default),
            clock: StallClock::new(now(), limits.stall_after),
            opened: Some(opened),
            position: StreamPosition::new(after_event),
            last_part_at: now(),
            longest_pause: Millis::ZERO,
            resumptions: 0,
            outcome: "left",
            req,
            progress,
            limits,
        };
        stream.restart_clock();
        Ok(stream)
    }

    /// Returns the head of the endpoint that began the stream; `None` once it has ended.
    pub fn head(&self) -> Option<&Parts> {
        self.opened.as_ref().map(|opened| &opened.exchange.head)
    }

    /// Returns the endpoint that the stream is read from; `None` once it has ended.
    pub fn endpoint(&self) -> Option<&EndpointEntry> {
        self.opened.as_ref().map(|opened| &opened.endpoint)
    }

    /// Returns the id of the request.
    pub fn request(&self) -> &str {
        &self.req.id
    }

    /// Returns the number of bytes that wait for the rest of their event.
    pub fn buffered(&self) -> usize {
        self.events.as_ref().map_or(0, EventBuffer::remaining)
    }

    /// Returns the next bytes for the client, whole events of a stream that may be resumed; `None`
    /// at the end.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the stream has broken off or is stalled and can't go on.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.next_part().await {
                Ok(Some(part)) => {
                    let pause = now().since(self.last_part_at);
                    self.longest_pause = self.longest_pause.max(pause);
                    self.last_part_at = now();
                    return Ok(Some(part));
                }
                Ok(None) => {
                    self.outcome = "whole";
                    if let Some(opened) = self.opened.take() {
                        self.caller.record_whole_stream(&self.req, &opened);
                    }
                    return Ok(None);
                }
                Err(error) => self.resume(error).await?,
            }
        }
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            if let Some(part) = self.take_block()? {
                return Ok(Some(part));
            }
            let Some(opened) = &mut self.opened else {
                return Err(SendError::no_answer("ended"));
            };
            let chunk = within(self.clock.left(now()), opened.exchange.next_chunk()).await;
            let chunk = chunk.unwrap_or_else(|| Err(SendError::no_answer("stalled")))?;
            let Some(chunk) = chunk else {
                return self.end();
            };
            self.clock.push(now(), &chunk);
            match &mut self.events {
                None => return Ok(Some(chunk)),
                Some(events) => events.push(&chunk),
            }
        }
    }

    /// Returns the next whole event, or the comments in front of it, if there are any.
    fn take_block(&mut self) -> Result<Option<Bytes>, SendError> {
        let Some(events) = &mut self.events else {
            return Ok(None);
        };
        if let Some((block, bytes)) = events.next_block() {
            match block {
                StreamBlock::Foreign(err) => return Err(SendError::no_answer(err)),
                StreamBlock::Event(event)
                    if self.req.repeatable && !self.position.advance(event.id) =>
                {
                    let last = self.position.last();
                    let reason = format!("event {:?} after event {last}", event.id);
                    return Err(SendError::no_answer(reason));
                }
                StreamBlock::Event(_) | StreamBlock::Comment => return Ok(Some(bytes)),
            }
        }
        if events.remaining() <= EVENT_MAX_BYTES {
            return Ok(None);
        }
        let rest = events.take_remaining();
        self.events = None;
        Ok(Some(rest))
    }

    /// Ends the stream, unless its endpoint has ended it within an event.
    fn end(&self) -> Result<Option<Bytes>, SendError> {
        let is_cut = self.events.as_ref().is_some_and(EventBuffer::has_remaining);
        if is_cut {
            return Err(SendError::no_answer("ends within an event"));
        }
        Ok(None)
    }

    fn may_resume(&self) -> bool {
        let attempts_left = self.progress.attempts_made < self.req.attempts;
        self.req.repeatable
            && self.events.is_some()
            && self.position.is_resumable()
            && attempts_left
    }

    fn restart_clock(&mut self) {
        let limit = if self.may_resume() {
            self.limits.resume_after
        } else {
            self.limits.stall_after
        };
        self.clock = StallClock::new(now(), limit);
    }

    /// Goes on at another endpoint after the stream has broken off.
    ///
    /// # Errors
    ///
    /// The given error if the stream can't go on.
    async fn resume(&mut self, error: SendError) -> Result<(), SendError> {
        self.outcome = "broken";
        let Some(opened) = self.opened.take() else {
            return Err(error);
        };
        let endpoint = opened.endpoint.clone();
        // Closes the connection, so that the endpoint no longer works on the stream.
        drop(opened);
        event(log::Level::Info, "stream-broken", || {
            format!(
                "request={} instance={} after_event={} reason=\"{error}\"",
                self.req.id,
                endpoint.instance,
                self.position.last()
            )
        });
        if !self.may_resume() {
            self.check_for_crash(endpoint);
            return Err(error);
        }
        self.record_broken(&endpoint, error.reason()).await;
        let opened = self.reopen(&endpoint).await.ok_or(error)?;
        self.events = Some(EventBuffer::default());
        self.opened = Some(opened);
        self.resumptions += 1;
        self.outcome = "left";
        self.restart_clock();
        Ok(())
    }

    /// Checks in the background whether the endpoint of a broken stream has crashed.
    fn check_for_crash(&self, endpoint: EndpointEntry) {
        let (caller, req) = (Rc::clone(&self.caller), self.req.clone());
        spawn(async move {
            caller.crashes().record_if_down(&req, &endpoint).await;
        });
    }

    /// Records that an endpoint has broken the stream off.
    async fn record_broken(&mut self, endpoint: &EndpointEntry, reason: &str) {
        let lost = AttemptOutcome::Lost(reason.to_owned());
        let outcome = self.caller.check_for_crash(&self.req, endpoint, lost).await;
        self.caller
            .record_outcome(&self.req, &mut self.progress, &endpoint.instance, outcome);
    }

    /// Opens the stream again after the last event, at an endpoint like the one that has broken off;
    /// `None` if there is none.
    async fn reopen(&mut self, broken: &EndpointEntry) -> Option<OpenedStream> {
        self.req
            .resumes
            .get_or_insert_with(|| StreamOrigin::of(broken));
        let last = self.position.last();
        if last > 0 {
            let name = HeaderName::from_static(LAST_EVENT_ID);
            self.req.headers.insert(name, HeaderValue::from(last));
        }
        loop {
            let opened = self
                .caller
                .open_stream(&self.req, &mut self.progress)
                .await
                .inspect_err(|failure| {
                    event(log::Level::Info, "stream-not-resumed", || {
                        format!("request={} after_event={last} {failure}", self.req.id)
                    });
                })
                .ok()?;
            let status = opened.exchange.head.status;
            let is_stream = is_event_stream(&opened.exchange.head) || !self.says_events;
            if status.is_success() && is_stream {
                self.caller.metrics.record_retry("stream-resumed");
                event(log::Level::Info, "stream-resumed", || {
                    format!(
                        "request={} after_event={last} instance={} from={}",
                        self.req.id, opened.endpoint.instance, broken.instance
                    )
                });
                return Some(opened);
            }
            let endpoint = opened.endpoint.clone();
            drop(opened);
            let reason = format!("status {}, not a stream", status.as_u16());
            self.record_broken(&endpoint, &reason).await;
        }
    }
}

/// Whether a response says that it is an event stream.
fn is_event_stream(head: &Parts) -> bool {
    let value = head.headers.get(CONTENT_TYPE);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.trim_start().starts_with(EVENT_STREAM))
}

impl Drop for EventStream {
    fn drop(&mut self) {
        let metrics = &self.caller.metrics;
        metrics.record_latency("stream-pause", self.longest_pause);
        event(log::Level::Info, "stream-ended", || {
            format!(
                "request={} outcome={} last_event={} resumptions={} longest_pause={}",
                self.req.id,
                self.outcome,
                self.position.last(),
                self.resumptions,
                self.longest_pause
            )
        });
    }
}
