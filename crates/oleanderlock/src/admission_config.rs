//! Sizes of an admission part.

use crate::policy::Policy;

/// Sizes of an admission part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Slots of the endpoint.
    pub capacity: usize,
    /// Most requests in the queue; each class may fill its share of it.
    pub queue_limit: usize,
    /// Most samples in the queue, likewise; they have long deadlines, and those that wait here can
    /// not go to an endpoint that becomes free.
    pub sample_queue_limit: usize,
    /// Slots that samples leave free while there is interactive work.
    pub interactive_reserve: usize,
    /// `Naive` turns off shares, priorities, the reserve and early refusal.
    pub policy: Policy,
}

impl AdmissionConfig {
    /// Queue places for each slot; the expected wait mostly refuses before they are full.
    const QUEUE_PER_SLOT: usize = 64;
    /// Queue places for samples for each slot.
    const SAMPLES_PER_SLOT: usize = 16;
    /// Slots for each one that is reserved for interactive work.
    const SLOTS_PER_RESERVED: usize = 8;

    /// Returns the product's sizes for an endpoint with `capacity` slots.
    pub fn for_capacity(capacity: usize) -> Self {
        let reserve = capacity.div_ceil(Self::SLOTS_PER_RESERVED);
        Self {
            capacity,
            queue_limit: capacity * Self::QUEUE_PER_SLOT,
            sample_queue_limit: capacity * Self::SAMPLES_PER_SLOT,
            interactive_reserve: reserve.min(capacity.saturating_sub(1)),
            policy: Policy::Product,
        }
    }
}
