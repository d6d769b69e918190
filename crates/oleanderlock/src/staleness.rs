//! Whether a sample is fresh enough for its trainer.

use crate::prelude::*;

/// The staleness bound of a contract, in versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Staleness {
    /// How many versions older than the trainer's a delivered sample may be; `None` for no bound.
    pub bound: Option<u64>,
}

impl Staleness {
    /// Returns a bound of `versions`.
    pub const fn within(versions: u64) -> Self {
        Self {
            bound: Some(versions),
        }
    }

    /// Returns the oldest version that may be delivered to a trainer at version `trainer`.
    pub fn oldest_allowed(self, trainer: Version) -> Version {
        let bound = self.bound.unwrap_or(u64::MAX);
        Version(trainer.0.saturating_sub(bound))
    }

    /// Returns whether a sample whose oldest version is `oldest` may be delivered now to a trainer
    /// that names `trainer` as its own version.
    pub fn allows(self, oldest: Version, trainer: Version) -> bool {
        oldest >= self.oldest_allowed(trainer)
    }

    /// Returns how many versions older than the trainer's the sample is.
    pub const fn age(oldest: Version, trainer: Version) -> u64 {
        trainer.0.saturating_sub(oldest.0)
    }
}
