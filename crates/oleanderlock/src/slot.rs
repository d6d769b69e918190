//! A sample of a step at the step's owner: its attempts and its result.

use crate::live_attempt::LiveAttempt;
use crate::prelude::*;
use crate::whole_answer::WholeAnswer;

/// One sample of a step.
///
/// A slot is settled while it has a payload. The number of attempts in flight is bounded by
/// [`attempts_per_slot`](crate::step_limits::StepLimits::attempts_per_slot).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slot {
    /// The accepted sample, if any.
    pub payload: Option<WholeAnswer>,
    /// Attempts in flight, oldest first.
    pub attempts: Vec<LiveAttempt>,
    /// Number of the next attempt.
    pub next_attempt: u32,
    /// Earliest start of the next attempt.
    pub not_before: Millis,
}

impl Slot {
    /// Starts an attempt and returns its number.
    pub fn start(&mut self, now: Millis) -> u32 {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.attempts.reserve_exact(1);
        self.attempts.push(LiveAttempt {
            number,
            started: now,
            oldest: None,
        });
        number
    }

    /// Records a version that the engine reported for an attempt; ignored if the attempt is not in
    /// flight.
    pub fn record_version(&mut self, number: u32, version: Version) {
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.number == number) {
            let oldest = attempt.oldest.unwrap_or(version);
            attempt.oldest = Some(oldest.min(version));
        }
    }

    /// Ends an attempt; returns whether it was in flight.
    pub fn end(&mut self, number: u32) -> bool {
        let before = self.attempts.len();
        self.attempts.retain(|attempt| attempt.number != number);
        self.attempts.len() < before
    }

    /// Returns whether the attempt is in flight.
    pub fn is_live(&self, number: u32) -> bool {
        self.attempts.iter().any(|attempt| attempt.number == number)
    }

    /// Returns the size of the payload in bytes of text.
    pub fn bytes(&self) -> u64 {
        let payload = self.payload.as_ref();
        payload.map_or(0, |answer| answer.data.len() as u64)
    }
}
