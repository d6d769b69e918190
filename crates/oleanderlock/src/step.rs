//! A training step at its owner: which samples to generate, and which to deliver.
//!
//! The trainer's own record of its samples is authoritative. Every pull carries the trainer's
//! cursor, and every answer names the cursor that it continues from and the version against which
//! staleness was checked. Safety does not depend on the ownership of the step: two owners may both
//! generate a sample, but the trainer accepts it once. The memory is bounded by
//! [`StepLimits`](crate::step_limits::StepLimits).

use crate::cursor::Cursor;
use crate::prelude::*;
use crate::pull::{Pull, PullRefusal};
use crate::slot::Slot;
use crate::step_action::StepAction;
use crate::step_config::StepConfig;
use crate::step_counter::StepCounter;
use crate::step_error::StepError;
use crate::whole_answer::WholeAnswer;

/// A training step at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    pub(crate) config: StepConfig,
    /// Cursor of the latest pull; `None` before the first pull of a recovered step.
    pub(crate) held: Option<Cursor>,
    /// Version of the trainer, by its latest pull.
    pub(crate) version: Version,
    /// The open pull.
    pub(crate) waiting: Option<Pull>,
    /// Slots by position.
    pub(crate) slots: Vec<Slot>,
    /// Attempts in flight over all slots.
    pub(crate) in_flight: u32,
    /// Bytes of text over all slots.
    pub(crate) bytes: u64,
}

impl Step {
    /// Opens a new step, of which the trainer has no sample, and starts to generate its samples.
    /// `version` is the version of the trainer.
    ///
    /// # Errors
    ///
    /// The step has no slots or too many, or the limits allow no attempt.
    pub fn open(
        now: Millis,
        config: StepConfig,
        version: Version,
        actions: &mut Vec<StepAction>,
    ) -> Result<Self, StepError> {
        let mut step = Self::recover(config, version)?;
        step.held = Some(step.empty_cursor());
        step.start_due_attempts(now, actions);
        Ok(step)
    }

    /// Takes over a step that another process opened. No sample is generated until a pull carries
    /// the trainer's cursor.
    ///
    /// # Errors
    ///
    /// As [`Self::open`].
    pub fn recover(config: StepConfig, version: Version) -> Result<Self, StepError> {
        let slots = config.shape.slots();
        config.check(slots)?;
        Ok(Self {
            config,
            held: None,
            version,
            waiting: None,
            slots: vec![Slot::default(); slots as usize],
            in_flight: 0,
            bytes: 0,
        })
    }

    /// Processes a pull. An earlier open pull is refused as superseded.
    pub fn pull(&mut self, now: Millis, pull: Pull, actions: &mut Vec<StepAction>) {
        let parsed = Cursor::parse(&pull.cursor, self.config.tag, self.config.shape.slots());
        let cursor = match parsed {
            Ok(cursor) => cursor,
            Err(error) => {
                actions.push(StepAction::Refuse {
                    pull: pull.id,
                    refusal: PullRefusal::BadCursor(error),
                });
                return;
            }
        };
        self.refuse_waiting(PullRefusal::Superseded, actions);
        self.acknowledge(cursor, actions);
        self.version = pull.version;
        for position in 0..self.config.shape.slots() {
            self.cancel_outdated(now, position, actions);
        }
        self.waiting = Some(pull);
        self.deliver(now, actions);
        self.announce_wait(actions);
        self.start_due_attempts(now, actions);
    }

    /// Answers an open pull whose time is up and starts attempts whose delay has passed.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        self.deliver(now, actions);
        self.start_due_attempts(now, actions);
    }

    /// Returns the time at which [`Step::tick`] must be called next, if any.
    pub fn next_tick(&self) -> Option<Millis> {
        let delayed = (0..self.config.shape.slots())
            .filter(|position| {
                self.held.is_some() && self.has_room() && self.needs_attempt(*position)
            })
            .map(|position| self.slots[position as usize].not_before)
            .filter(|not_before| *not_before > Millis::ZERO);
        let waiting = self.waiting.iter().map(|pull| pull.until);
        delayed.chain(waiting).min()
    }

    /// Refuses the open pull and cancels all attempts, because this process no longer owns the
    /// step.
    pub fn close(mut self, actions: &mut Vec<StepAction>) {
        self.refuse_waiting(PullRefusal::Moved, actions);
        for position in 0..self.config.shape.slots() {
            self.cancel_attempts(position, actions);
        }
    }

    /// Returns the identity, shape and limits of the step.
    pub const fn config(&self) -> &StepConfig {
        &self.config
    }

    /// Returns the version of the trainer, by its latest pull.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of slots that the trainer lacks, by its latest pull.
    pub fn remaining(&self) -> u32 {
        let held = self.held.as_ref();
        held.map_or(self.config.shape.slots(), Cursor::remaining)
    }

    /// Returns the accepted sample of a slot; `None` if there is none or the trainer has it.
    pub fn sample(&self, slot: SlotKey) -> Option<&WholeAnswer> {
        let position = self.config.shape.position(slot)?;
        self.slots[position as usize].payload.as_ref()
    }

    /// Returns the number of slots with an accepted sample that the trainer does not have yet.
    pub fn settled(&self) -> u32 {
        self.slots.iter().filter(|s| s.payload.is_some()).count() as u32
    }

    /// Returns the number of attempts in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the size of all accepted samples, in bytes of text.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn empty_cursor(&self) -> Cursor {
        Cursor::empty(self.config.tag, self.config.shape.slots())
    }

    pub(crate) fn is_held(&self, position: u32) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|cursor| cursor.contains(position))
    }

    pub(crate) fn is_settled_or_held(&self, position: u32) -> bool {
        self.is_held(position) || self.slots[position as usize].payload.is_some()
    }

    /// Returns whether the slot needs an attempt as soon as limits and delay allow one.
    pub(crate) fn needs_attempt(&self, position: u32) -> bool {
        let slot = &self.slots[position as usize];
        let may_start = self.config.guards.regenerate || slot.next_attempt == 0;
        may_start && slot.attempts.is_empty() && !self.is_settled_or_held(position)
    }

    pub(crate) fn start_due_attempts(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        if self.held.is_none() {
            return;
        }
        for position in 0..self.config.shape.slots() {
            if !self.has_room() {
                return;
            }
            let due = self.slots[position as usize].not_before <= now;
            if due && self.needs_attempt(position) {
                self.start_attempt(now, position, actions);
            }
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        let limits = &self.config.limits;
        let reserved = limits
            .sample_bytes
            .saturating_mul(u64::from(self.in_flight) + 1);
        self.in_flight < limits.in_flight
            && self.bytes.saturating_add(reserved) <= limits.payload_bytes
    }

    pub(crate) fn start_attempt(
        &mut self,
        now: Millis,
        position: u32,
        actions: &mut Vec<StepAction>,
    ) {
        let Some(slot) = self.config.shape.slot(position) else {
            return;
        };
        let attempt = self.slots[position as usize].start(now);
        self.in_flight += 1;
        actions.push(StepAction::Generate {
            slot,
            attempt,
            min_version: self.config.staleness.oldest_allowed(self.version),
        });
    }

    pub(crate) fn cancel_attempts(&mut self, position: u32, actions: &mut Vec<StepAction>) {
        let attempts = std::mem::take(&mut self.slots[position as usize].attempts);
        self.in_flight -= attempts.len() as u32;
        for attempt in attempts {
            actions.extend(self.cancel_action(position, attempt.number));
        }
    }

    pub(crate) fn cancel_action(&self, position: u32, attempt: u32) -> Option<StepAction> {
        let slot = self.config.shape.slot(position)?;
        Some(StepAction::Cancel { slot, attempt })
    }

    pub(crate) fn drop_payload(&mut self, position: u32) {
        let slot = &mut self.slots[position as usize];
        self.bytes -= slot.bytes();
        slot.payload = None;
    }

    fn acknowledge(&mut self, mut cursor: Cursor, actions: &mut Vec<StepAction>) {
        let before = self.held.take();
        if let Some(before) = before.filter(|before| !cursor.includes(before)) {
            actions.push(StepAction::Count(StepCounter::Rewound));
            if !self.config.guards.follow_rewind {
                cursor.insert_all(&before);
            }
        }
        for position in 0..self.config.shape.slots() {
            if self.config.guards.skip_held && cursor.contains(position) {
                self.drop_payload(position);
                self.cancel_attempts(position, actions);
            }
        }
        self.held = Some(cursor);
    }

    fn refuse_waiting(&mut self, refusal: PullRefusal, actions: &mut Vec<StepAction>) {
        if let Some(pull) = self.waiting.take() {
            actions.push(StepAction::Refuse {
                pull: pull.id,
                refusal,
            });
        }
    }

    fn announce_wait(&self, actions: &mut Vec<StepAction>) {
        if let Some(pull) = &self.waiting {
            actions.push(StepAction::Wait {
                pull: pull.id,
                until: pull.until,
            });
        }
    }
}
