//! Results, progress and failures of the attempts of a step.

use crate::live_attempt::LiveAttempt;
use crate::prelude::*;
use crate::step::Step;
use crate::step_action::StepAction;
use crate::step_counter::StepCounter;
use crate::whole_answer::WholeAnswer;

impl Step {
    /// Processes the result of an attempt. The first valid result settles the slot: its other
    /// attempts are cancelled and later results are dropped.
    pub fn settle(
        &mut self,
        now: Millis,
        slot: SlotKey,
        attempt: u32,
        answer: WholeAnswer,
        actions: &mut Vec<StepAction>,
    ) {
        let Some(position) = self.end_attempt(slot, attempt) else {
            actions.push(StepAction::Count(StepCounter::LateResult));
            return;
        };
        let count = match self.check_result(position, &answer) {
            Ok(()) => {
                self.store_payload(position, answer, actions);
                StepCounter::Settled
            }
            Err(count) => {
                self.delay(now, position);
                count
            }
        };
        actions.push(StepAction::Count(count));
        self.deliver(now, actions);
        self.start_due_attempts(now, actions);
    }

    /// Processes a version that the engine reported for tokens of an attempt. If the sample would be
    /// too old for the trainer, the attempt is cancelled and replaced without waiting for its end.
    pub fn progress(
        &mut self,
        now: Millis,
        slot: SlotKey,
        attempt: u32,
        version: Version,
        actions: &mut Vec<StepAction>,
    ) {
        let Some(position) = self.config.shape.position(slot) else {
            return;
        };
        self.slots[position as usize].record_version(attempt, version);
        self.cancel_outdated(now, position, actions);
        self.start_due_attempts(now, actions);
    }

    /// Cancels the slot's attempts whose samples would be too old for the trainer. The next attempt
    /// is delayed, since engines may still serve the same version.
    pub(crate) fn cancel_outdated(
        &mut self,
        now: Millis,
        position: u32,
        actions: &mut Vec<StepAction>,
    ) {
        for attempt in self.take_outdated(position) {
            self.in_flight -= 1;
            self.delay(now, position);
            actions.push(StepAction::Count(StepCounter::OutdatedAttempt));
            actions.extend(self.cancel_action(position, attempt.number));
        }
    }

    fn take_outdated(&mut self, position: u32) -> Vec<LiveAttempt> {
        let oldest_allowed = self.config.staleness.oldest_allowed(self.version);
        let is_outdated = |oldest: Option<Version>| oldest.is_some_and(|v| v < oldest_allowed);
        let attempts = &mut self.slots[position as usize].attempts;
        attempts
            .extract_if(.., |attempt| is_outdated(attempt.oldest))
            .collect()
    }

    /// Processes the failure of an attempt; the next attempt of the slot starts at `retry_at` at the
    /// earliest.
    pub fn fail(
        &mut self,
        now: Millis,
        slot: SlotKey,
        attempt: u32,
        retry_at: Millis,
        actions: &mut Vec<StepAction>,
    ) {
        let Some(position) = self.end_attempt(slot, attempt) else {
            return;
        };
        self.slots[position as usize].not_before = retry_at;
        actions.push(StepAction::Count(StepCounter::Failed));
        self.start_due_attempts(now, actions);
    }

    /// Starts another attempt for a slot with an attempt in flight, if the limits allow it. Returns
    /// whether an attempt was started.
    pub fn hedge(&mut self, now: Millis, slot: SlotKey, actions: &mut Vec<StepAction>) -> bool {
        let Some(position) = self.config.shape.position(slot) else {
            return false;
        };
        let attempts = self.slots[position as usize].attempts.len();
        let straggles = attempts > 0 && !self.is_settled_or_held(position);
        let allowed = attempts < self.config.limits.attempts_per_slot as usize && self.has_room();
        if !straggles || !allowed {
            return false;
        }
        self.start_attempt(now, position, actions);
        actions.push(StepAction::Count(StepCounter::Hedged));
        true
    }

    /// Ends an attempt and returns the position of its slot; `None` if it is not in flight.
    fn end_attempt(&mut self, slot: SlotKey, attempt: u32) -> Option<u32> {
        let position = self.config.shape.position(slot)?;
        let was_live = self.slots[position as usize].end(attempt);
        self.in_flight -= u32::from(was_live);
        (was_live || !self.config.guards.settle_once).then_some(position)
    }

    /// Delays the next attempt after a result was discarded, so that an engine that keeps returning
    /// unusable results does not cause a tight loop.
    fn delay(&mut self, now: Millis, position: u32) {
        let delay = self.config.limits.discard_delay;
        self.slots[position as usize].not_before = now.plus(delay);
    }

    fn check_result(&self, position: u32, answer: &WholeAnswer) -> Result<(), StepCounter> {
        let guards = &self.config.guards;
        let settled = self.slots[position as usize].payload.is_some();
        if guards.settle_once && settled {
            return Err(StepCounter::LateResult);
        }
        if guards.full_cover && answer.check_cover().is_err() {
            return Err(StepCounter::NotCovered);
        }
        if guards.known_version && answer.attribution.oldest().is_err() {
            return Err(StepCounter::UnknownVersion);
        }
        if answer.data.len() as u64 > self.config.limits.sample_bytes {
            return Err(StepCounter::TooLarge);
        }
        Ok(())
    }

    fn store_payload(&mut self, position: u32, answer: WholeAnswer, actions: &mut Vec<StepAction>) {
        self.drop_payload(position);
        self.bytes += answer.data.len() as u64;
        self.slots[position as usize].payload = Some(answer);
        if self.config.guards.settle_once {
            self.cancel_attempts(position, actions);
        }
    }
}
