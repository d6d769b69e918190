//! Limits of a contract that apply to all its classes. A contract is what an operator grants to one
//! customer.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Limits that apply to all classes of a contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of retries, in percent of first attempts.
    pub retry_percent: u32,
    /// Maximum number of hedged attempts, in percent of first attempts.
    pub hedge_percent: u32,
    /// Maximum duration of a graceful shutdown.
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
