//! Timers and bounds of membership.

use crate::prelude::*;

/// When silence becomes suspicion and suspicion becomes absence, and how much may be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Silence after which an instance is suspected.
    pub suspect: Millis,
    /// Silence after which a suspected instance that answered no probe is gone.
    pub gone: Millis,
    /// Time between two ticks beyond which the observer itself was paused.
    pub pause: Millis,
    /// First wait before a silent instance is probed again; it doubles each time.
    pub probe_min: Millis,
    /// Longest wait before an instance is probed again.
    pub probe_max: Millis,
    /// Probes sent in one tick, whatever the number of silent instances.
    pub probes_per_tick: usize,
    /// Instances that the table holds.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect: Millis(3000),
            gone: Millis(10_000),
            pause: Millis(1500),
            probe_min: Millis(500),
            probe_max: Millis(4000),
            probes_per_tick: 4,
            max_members: 4096,
        }
    }
}
