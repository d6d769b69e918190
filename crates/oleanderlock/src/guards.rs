//! Switches that the model checker uses to take one guard out.

/// The guards of the request protocol; all are on in service.
///
/// A guard is switched off only by the model check, to show that the check notices its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// The agent refuses tickets of another incarnation.
    pub incarnation: bool,
    /// The agent remembers a non-idempotent request whatever the attempt number.
    pub request_identity: bool,
    /// The agent remembers refused and buried tickets.
    pub tombstone: bool,
    /// The agent keeps refusing what it refused while its table was full.
    pub floor: bool,
    /// The agent says "unknown" of tickets that it may have forgotten.
    pub forgotten: bool,
    /// The agent refuses a request that differs from the one first seen with its identity.
    pub fingerprint: bool,
    /// The entry retries a non-idempotent request only if the attempt did not run.
    pub retry: bool,
    /// The entry ignores answers to other tickets than the current one.
    pub ticket: bool,
    /// The entry says "unknown" when an agent is lost after the send.
    pub lost: bool,
    /// The entry says "unknown" of a keyed request that it did not send.
    pub earlier_calls: bool,
    /// A key binding is written only over the version that was read.
    pub conditional: bool,
    /// A key binding is used only after its write is confirmed.
    pub confirmed: bool,
    /// A lease holder counts its lease from before the write was sent, and stops a margin early.
    pub lease_margin: bool,
    /// Orders with an old fencing number are refused.
    pub fence: bool,
    /// A write is judged lost only if the log reaches back to its precondition.
    pub log_reach: bool,
}

impl Guards {
    /// All guards on.
    pub const ALL: Self = Self {
        incarnation: true,
        request_identity: true,
        tombstone: true,
        floor: true,
        forgotten: true,
        fingerprint: true,
        retry: true,
        ticket: true,
        lost: true,
        earlier_calls: true,
        conditional: true,
        confirmed: true,
        lease_margin: true,
        fence: true,
        log_reach: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ALL
    }
}
