//! Delivers messages of agents to the requests that they are for.

use crate::entry::attempt_event::AttemptEvent;
use crate::entry::inflight_attempts::InflightAttempts;
use crate::prelude::*;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::segment::Segment;
use oleanderlock::stream_chunk::StreamChunk;

/// Parses a chunk; `None` when its ticket is malformed.
pub fn parse_chunk(chunk: wire::Chunk) -> Option<StreamChunk> {
    let ticket = chunk.ticket.as_ref()?.to_ticket()?;
    let segments = chunk.segments.iter().map(|segment| Segment {
        version: (!segment.unknown).then_some(Version(segment.version)),
        first: segment.first,
        end: segment.end,
    });
    Some(StreamChunk {
        ticket,
        offset: chunk.offset,
        tokens: chunk.tokens,
        data: chunk.data,
        segments: segments.collect(),
    })
}

/// Delivers a frame that is for one request; returns a frame that is for the control thread.
pub fn deliver(inflight: &InflightAttempts, frame: Box<wire::Frame>) -> Option<Box<wire::Frame>> {
    let ticket = match &frame.body {
        Some(Body::Chunk(chunk)) => &chunk.ticket,
        Some(Body::Finish(finish)) => &finish.ticket,
        Some(Body::Buried(buried)) => &buried.ticket,
        _ => return Some(frame),
    };
    let ticket = ticket.as_ref().and_then(wire::Ticket::to_ticket)?;
    let event = match frame.body {
        Some(Body::Chunk(chunk)) => AttemptEvent::Chunk(chunk),
        Some(Body::Finish(finish)) => {
            AttemptEvent::Finished(ticket, outcome_of(&finish), finish.load)
        }
        Some(Body::Buried(buried)) => AttemptEvent::Buried(ticket, buried.ran().into()),
        _ => return None,
    };
    inflight.deliver(ticket, event);
    None
}

fn outcome_of(finish: &wire::Finish) -> Outcome {
    // An agent that has dropped the body of an answer still sends its length.
    let is_whole = finish.status > 0 && finish.data.len() as u64 == finish.total;
    let error =
        (!finish.error.is_empty()).then(|| finish.error.parse().unwrap_or(ErrorKind::Internal));
    Outcome {
        ran: finish.ran().into(),
        error,
        retry_after: (finish.retry_after_ms > 0).then_some(Millis(finish.retry_after_ms)),
        status: u16::try_from(finish.status).unwrap_or_default(),
        total: finish.total,
        data: is_whole.then(|| finish.data.clone()),
    }
}
