//! The numbering of the slots of a training step.

use crate::prelude::*;
use crate::step_tag::StepTag;

/// How many samples each prompt group of a step has.
///
/// Slots are numbered from 0 in order of group and index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepShape {
    /// Number of slots up to the end of each group, previous groups included.
    ends: Vec<u32>,
}

impl StepShape {
    /// Creates the shape with `sizes[g]` samples in group `g`.
    pub fn new(sizes: impl IntoIterator<Item = u32>) -> Self {
        let mut end = 0u32;
        let ends = sizes
            .into_iter()
            .map(|size| {
                end = end.saturating_add(size);
                end
            })
            .collect();
        Self { ends }
    }

    /// Returns the number of groups.
    pub const fn groups(&self) -> usize {
        self.ends.len()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.ends.last().copied().unwrap_or(0)
    }

    /// Returns the number of the slot; `None` if the step has no such slot.
    pub fn position(&self, slot: SlotKey) -> Option<u32> {
        let group = slot.group as usize;
        let end = *self.ends.get(group)?;
        let position = self.start(group).checked_add(slot.index)?;
        (position < end).then_some(position)
    }

    /// Returns the slot with number `position`; `None` if the step has fewer slots.
    pub fn slot(&self, position: u32) -> Option<SlotKey> {
        let group = self.ends.partition_point(|end| *end <= position);
        (group < self.ends.len()).then(|| SlotKey {
            group: group as u32,
            index: position - self.start(group),
        })
    }

    /// Returns the tag of the step `step` of `trainer` with this shape.
    pub fn tag(&self, trainer: &str, step: u64) -> StepTag {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(trainer.len() as u64).to_le_bytes());
        hasher.update(trainer.as_bytes());
        hasher.update(&step.to_le_bytes());
        for end in &self.ends {
            hasher.update(&end.to_le_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        StepTag(u64::from_le_bytes(first))
    }

    fn start(&self, group: usize) -> u32 {
        match group {
            0 => 0,
            _ => self.ends[group - 1],
        }
    }
}
