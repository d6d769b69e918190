//! What a standby does after reading the leader's pulse.

/// What to do after a look for the leader's pulse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PulseVerdict {
    /// It may live: look again later.
    Wait,
    /// Probe the leader once more at once; without an answer, take over.
    ProbeAgain,
    /// Take over.
    TakeOver,
}
