//! Rate of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A rate of requests, in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns a rate of `per_second` requests per second; `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}
