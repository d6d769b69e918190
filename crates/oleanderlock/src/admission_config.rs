//! Capacity and queue limits of one endpoint.

use crate::policy::Policy;

/// Capacity and queue limits of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Requests that the endpoint serves at the same time.
    pub capacity: usize,
    /// Maximum number of queued interactive requests; each class may use its granted share of it.
    /// For the naive policy, maximum number of all queued requests.
    pub queue_limit: usize,
    /// Maximum number of queued samples, divided in the same way. It is smaller because samples
    /// have long deadlines and, once queued here, can't move to an endpoint that becomes free.
    pub sample_queue_limit: usize,
    /// Slots that samples may not use for a time after interactive work last asked for a slot; see
    /// [`EndpointSlots`](crate::endpoint_slots::EndpointSlots).
    pub interactive_reserve: usize,
    /// [`Policy::Product`], the default, applies shares, priorities, the reserve and early refusal;
    /// [`Policy::Naive`], a baseline for benchmarks, turns them off.
    pub policy: Policy,
}

impl AdmissionConfig {
    /// Queue length for each slot. Work is usually refused for its expected wait before the queue
    /// is full.
    const QUEUE_PER_SLOT: usize = 64;
    /// Queue length for samples for each slot.
    const SAMPLES_PER_SLOT: usize = 16;
    /// One slot in this many is reserved for interactive work.
    const SLOTS_PER_RESERVED: usize = 8;

    /// Returns the default limits for an endpoint with `capacity` slots.
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
