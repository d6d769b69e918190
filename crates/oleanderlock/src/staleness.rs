//! The staleness bound of samples.

use crate::prelude::*;

/// The staleness bound of a contract, in weight versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Staleness {
    /// How many versions a delivered sample may be older than the trainer; `None` for no bound.
    pub bound: Option<u64>,
}

impl Staleness {
    /// Creates a bound of `versions`.
    pub const fn within(versions: u64) -> Self {
        Self {
            bound: Some(versions),
        }
    }

    /// Returns the oldest version that may be delivered to a trainer at the version `trainer`.
    pub fn oldest_allowed(self, trainer: Version) -> Version {
        let bound = self.bound.unwrap_or(u64::MAX);
        Version(trainer.0.saturating_sub(bound))
    }

    /// Returns whether a sample whose oldest version is `oldest` may be delivered to a trainer at
    /// the version `trainer`.
    pub fn allows(self, oldest: Version, trainer: Version) -> bool {
        oldest >= self.oldest_allowed(trainer)
    }

    /// Returns how many versions the sample is older than the trainer; zero if it is newer.
    pub const fn age(oldest: Version, trainer: Version) -> u64 {
        trainer.0.saturating_sub(oldest.0)
    }
}
