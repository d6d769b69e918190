//! Input of the endpoint choice for one attempt.

use crate::endpoint::EndpointKey;
use crate::prelude::*;
use crate::trainer_preference::TrainerPreference;

/// The properties of an attempt by which its endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Model or service name.
    pub target: &'a [u8],
    /// Hash of the prompt prefix, for cache affinity; `None` for work without one.
    pub prefix: Option<u64>,
    /// Time after which the answer is of no use.
    pub deadline: Millis,
    /// Whether a caller or a trainer waits for the answer.
    pub kind: WorkKind,
    /// Metric that the contract prefers. With [`TrainerPreference::Staleness`] samples go to
    /// endpoints with the newest weight version.
    pub preference: TrainerPreference,
    /// Endpoints that earlier attempts used, which must not be chosen again.
    pub excluded: &'a [EndpointKey],
    /// Uniformly distributed random number.
    pub draw: u64,
}
