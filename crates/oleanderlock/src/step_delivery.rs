//! Delivery of samples: the answers to pulls.

use crate::cursor::Cursor;
use crate::prelude::*;
use crate::pull::{Pull, PullAnswer, SlotSample};
use crate::step::Step;
use crate::step_action::StepAction;
use crate::step_counter::StepCounter;

impl Step {
    /// Answers the open pull if a sample is ready, the trainer has all slots or the pull's time is
    /// up.
    pub(crate) fn deliver(&mut self, now: Millis, actions: &mut Vec<StepAction>) {
        let Some(pull) = self.waiting.take() else {
            return;
        };
        self.discard_too_old(pull.version, actions);
        let answer = self.answer(&pull);
        let ready = !answer.samples.is_empty() || answer.remaining == 0;
        if !ready && now < pull.until {
            self.waiting = Some(pull);
            return;
        }
        actions.push(StepAction::Deliver {
            pull: pull.id,
            answer,
        });
    }

    /// Discards the samples that are too old for a trainer at `version`.
    fn discard_too_old(&mut self, version: Version, actions: &mut Vec<StepAction>) {
        if !self.config.guards.staleness_at_delivery {
            return;
        }
        for position in 0..self.config.shape.slots() {
            if self.is_too_old(position, version) {
                self.drop_payload(position);
                actions.push(StepAction::Count(StepCounter::TooOld));
            }
        }
    }

    /// Returns whether the slot's sample may not be delivered to a trainer at `version`.
    fn is_too_old(&self, position: u32, version: Version) -> bool {
        let Some(payload) = &self.slots[position as usize].payload else {
            return false;
        };
        let staleness = self.config.staleness;
        match payload.attribution.oldest() {
            Ok(oldest) => !staleness.allows(oldest, version),
            Err(_) => self.config.guards.known_version,
        }
    }

    fn answer(&self, pull: &Pull) -> PullAnswer {
        let held = self.held.clone().unwrap_or_else(|| self.empty_cursor());
        let mut cursor = held.clone();
        let mut bytes = 0;
        let mut samples = Vec::new();
        for position in 0..self.config.shape.slots() {
            let Some(sample) = self.deliverable(position, &held) else {
                continue;
            };
            let has_room = bytes < self.config.limits.answer_bytes;
            if !has_room && self.config.guards.delivered_only {
                break;
            }
            cursor.insert(position);
            if has_room {
                bytes += sample.answer.data.len() as u64;
                samples.push(sample);
            }
        }
        PullAnswer {
            from: pull.cursor.clone(),
            remaining: cursor.remaining(),
            cursor: cursor.to_string(),
            version: pull.version,
            samples,
        }
    }

    fn deliverable(&self, position: u32, held: &Cursor) -> Option<SlotSample> {
        if self.config.guards.skip_held && held.contains(position) {
            return None;
        }
        let slot = self.config.shape.slot(position)?;
        let answer = self.slots[position as usize].payload.clone()?;
        Some(SlotSample { slot, answer })
    }
}
