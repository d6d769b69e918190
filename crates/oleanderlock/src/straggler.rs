//! Samples of a step that are still missing.

use crate::prelude::*;
use crate::step::Step;

/// A slot of a step with an attempt in flight and no result yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Straggler {
    /// Identity of the slot.
    pub slot: SlotKey,
    /// Number of samples missing in the slot's group, including this one.
    pub missing_in_group: u32,
    /// Number of attempts in flight for the slot.
    pub attempts: u32,
    /// Time since the start of its oldest attempt in flight.
    pub age: Millis,
}

impl Step {
    /// Returns the slots with an attempt in flight and no result, most urgent first: those with the
    /// fewest samples missing in their group, then older ones.
    pub fn stragglers(&self, now: Millis) -> Vec<Straggler> {
        let mut missing = vec![0u32; self.config.shape.groups()];
        let mut stragglers = Vec::new();
        for position in 0..self.config.shape.slots() {
            let Some(slot) = self.config.shape.slot(position) else {
                continue;
            };
            if self.is_settled_or_held(position) {
                continue;
            }
            missing[slot.group as usize] += 1;
            let attempts = &self.slots[position as usize].attempts;
            let Some(oldest) = attempts.first() else {
                continue;
            };
            stragglers.push(Straggler {
                slot,
                missing_in_group: 0,
                attempts: attempts.len() as u32,
                age: now.since(oldest.started),
            });
        }
        for straggler in &mut stragglers {
            straggler.missing_in_group = missing[straggler.slot.group as usize];
        }
        stragglers.sort_by_key(|s| (s.missing_in_group, std::cmp::Reverse(s.age), s.slot));
        stragglers
    }
}
