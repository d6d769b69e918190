//! Limits of a contract that hold for all classes.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Limits that hold for all classes of a contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Retries allowed, in percent of first attempts.
    pub retry_percent: u32,
    /// Hedged attempts allowed, in percent of first attempts.
    pub hedge_percent: u32,
    /// Longest graceful shutdown.
    pub drain: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            hedge_percent: 5,
            drain: Millis::from_secs(30),
        }
    }
}
