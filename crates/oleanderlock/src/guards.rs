//! Switches by which the model checker disables single safety rules.
//!
//! An entry is a process that accepts calls and routes them; an agent is the process at an endpoint
//! that runs them. A ticket identifies one attempt of a request at one incarnation of an agent.

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
    /// The agent keeps refusing requests that it refused while its table was full: it raises a floor
    /// and refuses horizons up to it.
    pub refusal_floor: bool,
    /// The agent reports `unknown` for tickets whose record may have been pruned.
    pub pruned_records: bool,
    /// The agent refuses a request whose body differs from the first one with the same identity.
    pub fingerprint: bool,
    /// The entry retries a non-idempotent request only if the attempt did not run.
    pub retry_only_not_run: bool,
    /// The entry ignores messages about tickets other than the current one.
    pub current_ticket: bool,
    /// The entry reports `unknown` for a request whose agent is lost after the send.
    pub lost_agent: bool,
    /// The entry reports `unknown` for a request with a key if an earlier call may have sent it.
    pub unknown_earlier_call: bool,
    /// A key binding is written only if the stored version is the one that was read.
    pub conditional_binding: bool,
    /// A key binding is used only after its write is confirmed.
    pub confirmed_binding: bool,
    /// A lease holder counts its lease from before it sent the write, and stops a margin before the
    /// end.
    pub lease_margin: bool,
    /// Orders with an old fencing token are refused.
    pub fencing_token: bool,
    /// A write is taken as lost only if the write log reaches back to the version it was based on.
    pub log_reach: bool,
}

impl Guards {
    /// All guards on.
    pub const ALL: Self = Self {
        incarnation: true,
        request_identity: true,
        tombstone: true,
        refusal_floor: true,
        pruned_records: true,
        fingerprint: true,
        retry_only_not_run: true,
        current_ticket: true,
        lost_agent: true,
        unknown_earlier_call: true,
        conditional_binding: true,
        confirmed_binding: true,
        lease_margin: true,
        fencing_token: true,
        log_reach: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ALL
    }
}
