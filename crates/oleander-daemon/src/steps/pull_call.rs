//! A pull of a trainer.

use crate::prelude::*;
use async_channel::Sender;
use oleanderlock::pull::{PullAnswer, PullRefusal};

/// A pull of a trainer, with the channel for its answer.
#[derive(Debug)]
pub struct PullCall {
    /// Text of the trainer's cursor; empty for the first pull of a step.
    pub cursor: String,
    /// Weight version of the trainer.
    pub version: Version,
    /// Maximum time to wait for samples.
    pub wait: Millis,
    /// Receives the answer, once.
    pub reply: Sender<Result<PullAnswer, PullRefusal>>,
}
