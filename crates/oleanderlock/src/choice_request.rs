//! What is asked of the endpoint choice.

use crate::endpoint::EndpointKey;
use crate::prelude::*;
use crate::trainer_preference::TrainerPreference;

/// What is asked of the choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Model or service name.
    pub target: &'a [u8],
    /// Hash of the prompt prefix; `None` for work without one.
    pub prefix: Option<u64>,
    /// Point after which the answer is of no use.
    pub deadline: Millis,
    /// Who waits for the work.
    pub kind: WorkKind,
    /// Measure that the contract favours: with `Staleness` samples go to the newest version.
    pub preference: TrainerPreference,
    /// Endpoints that earlier attempts have used.
    pub excluded: &'a [EndpointKey],
    /// A drawn value.
    pub draw: u64,
}
