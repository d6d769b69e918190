//! What a standby does after reading the leader's pulse.

/// Decision of a standby after it has read the leader's pulse from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PulseVerdict {
    /// The leader may be alive: check again later.
    Wait,
    /// Probe the leader once more at once, and take over if it does not answer as the leader.
    ProbeAgain,
    /// Take over the leadership.
    TakeOver,
}
