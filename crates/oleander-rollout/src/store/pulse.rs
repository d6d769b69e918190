//! Heartbeat of the leader in the platform's store.

use serde::{Deserialize, Serialize};

/// Kind of the leader's pulse; a kind of its own, so that no watch reports each pulse.
pub const PULSE_KIND: &str = "dispatcher-pulses";
/// Name of the [`Pulse`].
pub const PULSE_NAME: &str = "leader";

/// Heartbeat of the leader, which overwrites it in the store every 0.8 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Epoch that the leader holds.
    pub epoch: u64,
    /// Rises by 1 with each pulse, from a random start at each change of the leader.
    pub number: u64,
    /// Number of the first chunk of results that the next leader must read before it leads; 0 for
    /// all.
    #[serde(default)]
    pub needed_from: u64,
    /// Time for which the leader has led, in milliseconds; 0 while it recovers.
    #[serde(default)]
    pub leads_ms: u64,
    /// Number of agents whose reports have reached the leader within the last 2 s.
    #[serde(default)]
    pub heard_agents: usize,
}
