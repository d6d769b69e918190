//! Why the even choice took an endpoint.

/// Why the even choice took an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EvenReason {
    /// It was its turn by its share.
    Turn,
    /// It was about its turn, and a connection to it was open.
    Connected,
    /// Nothing was known of it yet.
    Untried,
    /// The own failure domain would have cost the caller more than the way to another.
    OtherDomain,
    /// No endpoint of the own failure domain could be used.
    OwnDomainOut,
    /// All endpoints were avoided after failures or refusals, or had to wait for their rate limit.
    AllAvoided,
}
