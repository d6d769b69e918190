//! Detection of stalled streams of server-sent events.
//!
//! Load pattern: an endpoint hangs in the middle of a stream but keeps the connection alive with
//! comments or single bytes, while other streams are slow but sound. Only complete events count as
//! progress.

use crate::prelude::*;

/// Measures the time since the last complete event of a stream.
#[derive(Clone, Debug)]
pub struct StallClock {
    limit: Millis,
    last_event_at: Millis,
    // First byte of the current line; `None` at its start.
    line_start: Option<u8>,
    // Whether the current event has a line that is not a comment.
    has_field: bool,
}

impl StallClock {
    /// Returns a clock for a stream that starts at `now` and counts as stalled after `limit`
    /// without a complete event.
    pub fn new(now: Millis, limit: Millis) -> Self {
        Self {
            limit,
            last_event_at: now,
            line_start: None,
            has_field: false,
        }
    }

    /// Takes received bytes into account, wherever they are cut.
    pub fn push(&mut self, now: Millis, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\r' => {}
                b'\n' => self.end_line(now),
                _ => {
                    self.line_start.get_or_insert(*byte);
                }
            }
        }
    }

    fn end_line(&mut self, now: Millis) {
        match self.line_start.take() {
            // A blank line ends the event.
            None => {
                if std::mem::take(&mut self.has_field) {
                    self.last_event_at = now;
                }
            }
            Some(b':') => {}
            Some(_) => self.has_field = true,
        }
    }

    /// Returns the time until the stream counts as stalled; zero if it does.
    pub fn left(&self, now: Millis) -> Millis {
        self.last_event_at.plus(self.limit).since(now)
    }
}
