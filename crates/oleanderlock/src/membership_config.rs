//! Timers and bounds of membership.

use crate::prelude::*;

/// Timeouts of failure detection, and bounds on probes and on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Silence after which an instance is suspected.
    pub suspect_after: Millis,
    /// Silence after which a suspected instance that did not answer a probe is gone.
    pub gone_after: Millis,
    /// Time between two ticks above which the observer itself counts as paused.
    pub pause_threshold: Millis,
    /// First wait before a silent instance is probed again; it doubles each time.
    pub probe_min: Millis,
    /// Longest wait before an instance is probed again, without jitter.
    pub probe_max: Millis,
    /// Most probes sent in one tick, whatever the number of silent instances.
    pub probes_per_tick: usize,
    /// Most instances in the table.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after: Millis(3000),
            gone_after: Millis(10_000),
            pause_threshold: Millis(1500),
            probe_min: Millis(500),
            probe_max: Millis(4000),
            probes_per_tick: 4,
            max_members: 4096,
        }
    }
}
