//! Limits on the memory and the attempts of a step.

use crate::prelude::*;

/// Limits on the memory and the attempts of one step at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepLimits {
    /// Most slots of a step.
    pub slots: u32,
    /// Most attempts in flight over all slots.
    pub in_flight: u32,
    /// Most attempts in flight for one slot, hedges included.
    pub attempts_per_slot: u32,
    /// Largest sample, in bytes of text.
    pub sample_bytes: u64,
    /// Most bytes of text held; each attempt in flight counts as `sample_bytes`.
    pub payload_bytes: u64,
    /// Size in bytes of text at which an answer to a pull gets no further sample; the last sample
    /// may exceed it.
    pub answer_bytes: u64,
    /// Delay before the next attempt of a slot after a result was discarded.
    pub discard_delay: Millis,
}

impl Default for StepLimits {
    fn default() -> Self {
        Self {
            slots: 4096,
            in_flight: 512,
            attempts_per_slot: 2,
            sample_bytes: 64 << 10,
            payload_bytes: 32 << 20,
            answer_bytes: 4 << 20,
            discard_delay: Millis(100),
        }
    }
}
