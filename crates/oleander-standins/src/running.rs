//! One request in the batch of an engine, and the events of its stream.

use crate::batch::Generate;
use crate::feed::FeedSender;
use crate::token_text::TokenText;
use bytes::Bytes;
use serde::Serialize;
use std::io;

/// The version that serves, and whether the engine knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving {
    /// The version that makes the tokens.
    pub version: u64,
    /// The engine reports it.
    pub known: bool,
}

#[derive(Serialize)]
struct ChunkEvent<'a> {
    offset: u64,
    tokens: u64,
    text: &'a str,
    version: Option<u64>,
}

#[derive(Serialize)]
struct DoneEvent {
    done: bool,
    total: u64,
}

/// A request in the batch.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) run: Option<usize>,
    pub(crate) req: Generate,
    pub(crate) tx: FeedSender,
    pub(crate) text: TokenText,
    pub(crate) next: u64,
    /// When the token before `next` was complete.
    pub(crate) paced_us: u64,
    pub(crate) break_at: Option<u64>,
}

/// What a request does after its due tokens were sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Going,
    Ended,
}

impl Running {
    /// When the next chunk is whole, in microseconds of the engine's clock.
    pub(crate) fn due_us(&self, pace_us: u64, chunk: u64) -> u64 {
        let left = self.req.max_tokens.saturating_sub(self.next);
        self.paced_us + left.min(chunk) * pace_us
    }

    /// Sends whole chunks that are due, and a part of one on `flush`.
    pub(crate) fn send_due(
        &mut self,
        pace_us: u64,
        chunk: u64,
        serving: Serving,
        now_us: u64,
        flush: bool,
    ) -> Progress {
        loop {
            let left = self.req.max_tokens.saturating_sub(self.next);
            if left == 0 {
                self.send_done();
                return Progress::Ended;
            }
            let made = now_us.saturating_sub(self.paced_us) / pace_us;
            let whole = left.min(chunk);
            let count = if made >= whole { whole } else { made };
            if count == 0 || (count < whole && !flush) {
                return Progress::Going;
            }
            if self.break_at.is_some_and(|at| self.next + count > at) {
                let _ = self.tx.try_send(Err(io::ErrorKind::ConnectionReset.into()));
                return Progress::Ended;
            }
            if !self.send_chunk(count, serving) {
                return Progress::Ended;
            }
            self.next += count;
            self.paced_us += count * pace_us;
        }
    }

    fn send_chunk(&self, count: u64, serving: Serving) -> bool {
        let mut text = String::with_capacity(count as usize * 12);
        for index in self.next..self.next + count {
            self.text.push(&mut text, index, serving.version);
        }
        let event = ChunkEvent {
            offset: self.next,
            tokens: count,
            text: &text,
            version: serving.known.then_some(serving.version),
        };
        self.tx.try_send(Ok(sse(&event))).is_ok()
    }

    fn send_done(&self) {
        let event = DoneEvent {
            done: true,
            total: self.req.max_tokens,
        };
        let _ = self.tx.try_send(Ok(sse(&event)));
    }
}

fn sse(event: &impl Serialize) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    buf.extend_from_slice(b"data: ");
    let _ = serde_json::to_writer(&mut buf, event);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}
