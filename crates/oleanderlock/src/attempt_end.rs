//! How attempts at an endpoint end.

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a complete answer. Its duration is passed to
    /// [`EndpointChoice::record_pace`](crate::endpoint_choice::EndpointChoice::record_pace) before.
    Finished,
    /// The agent refused it, which doesn't count against the endpoint.
    Refused,
    /// The entry cancelled it.
    Cancelled,
    /// The endpoint or the connection to it failed.
    Failed,
}
