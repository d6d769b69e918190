//! Switches by which the model checker disables single safety rules.

/// The safety rules of the request protocol; all are on in production.
///
/// Only the model checks switch a guard off, to show that they detect the violation that it
/// prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// The agent refuses tickets of another incarnation.
    pub incarnation: bool,
    /// The agent keeps one record for all attempts of a non-idempotent request.
    pub request_identity: bool,
    /// The agent keeps records of refused and buried tickets.
    pub tombstone: bool,
    /// The agent keeps refusing requests that it refused while its table was full.
    pub floor: bool,
    /// The agent reports tickets whose record may have been dropped as unknown.
    pub forgotten: bool,
    /// The agent refuses a request whose body differs from the first one with the same identity.
    pub fingerprint: bool,
    /// The entry retries a non-idempotent request only if the attempt did not run.
    pub retry: bool,
    /// The entry ignores messages about tickets other than the current one.
    pub ticket: bool,
    /// The entry reports a request as unknown when its agent is lost after the send.
    pub lost: bool,
    /// The entry reports a request with a key as unknown if an earlier call may have sent it.
    pub earlier_calls: bool,
    /// A key binding is written only if the stored version is the one that was read.
    pub conditional: bool,
    /// A key binding is used only after its write is confirmed.
    pub confirmed: bool,
    /// A lease holder counts its lease from before it sent the write, and stops a margin before the
    /// end.
    pub lease_margin: bool,
    /// Orders with an old fencing token are refused.
    pub fence: bool,
    /// A write is taken as lost only if the write log reaches back to the version it was based on.
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
