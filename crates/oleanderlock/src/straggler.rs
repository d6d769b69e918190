//! A sample that a step still misses.

use crate::prelude::*;
use crate::step::Step;

/// A slot that has an attempt in flight and no result yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Straggler {
    /// The slot.
    pub slot: SlotKey,
    /// Samples that the slot's group still misses, this one included.
    pub missing_in_group: u32,
    /// Attempts in flight for the slot.
    pub attempts: u32,
    /// How long the oldest attempt in flight has run.
    pub age: Millis,
}

impl Step {
    /// Returns the slots with an attempt in flight and no result, the most urgent first: the last
    /// missing sample of a group before others, then the one that has run longest.
    pub fn stragglers(&self, now: Millis) -> Vec<Straggler> {
        let mut missing = vec![0u32; self.terms.shape.groups()];
        let mut stragglers = Vec::new();
        for position in 0..self.terms.shape.slots() {
            let Some(slot) = self.terms.shape.slot(position) else {
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
