//! How far the events of a stream have been relayed.
//!
//! Load pattern: an endpoint breaks a stream off within an event, and another one goes on after the
//! last event that the client has.

/// How far the numbered events of a stream have been relayed.
#[derive(Clone, Copy, Debug)]
pub struct StreamPosition {
    last: u64,
    is_numbered: bool,
}

impl StreamPosition {
    /// Creates the position after the event `last`; 0 before the first one.
    pub fn new(last: u64) -> Self {
        Self {
            last,
            is_numbered: true,
        }
    }

    /// Takes the number of the next event into account, `None` if it has none; returns false if it
    /// isn't the one after the last, so that events are missing or repeated.
    pub fn advance(&mut self, number: Option<u64>) -> bool {
        let Some(number) = number else {
            self.is_numbered = false;
            return true;
        };
        let is_next = Some(number) == self.last.checked_add(1);
        if is_next {
            self.last = number;
        }
        is_next
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether another endpoint could go on after the last event: no later one lacks its number.
    pub fn is_resumable(&self) -> bool {
        self.is_numbered
    }
}
