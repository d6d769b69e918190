//! Points in time and durations in milliseconds.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point in time, or a duration, in whole milliseconds.
///
/// Points are counted from an origin that the owner of the clock chooses, so points of different
/// processes are not comparable.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of the clock, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts `seconds`; saturates at [`Millis::MAX`].
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// Returns the sum; saturates at [`Millis::MAX`].
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl From<std::time::Duration> for Millis {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(length: Millis) -> Self {
        Self::from_millis(length.0)
    }
}
