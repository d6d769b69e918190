//! Whether a process has too little processor time, by how late its timers fire.

use crate::prelude::*;

/// Mean lag from which a process counts as late.
const LATE_FROM: Millis = Millis(200);
/// Mean lag up to which a late process counts as in time again.
const IN_TIME_TO: Millis = Millis(50);
/// Largest lag that counts: a process that was suspended once is not late from then on.
const LAG_MAX: Millis = Millis(1000);
/// Weight of the newest lag in the moving mean, as the divisor of one.
const WEIGHT_DIVISOR: u64 = 10;

/// A change of whether a process is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagChange {
    /// It is late from now on.
    Late,
    /// It is in time again.
    InTime,
}

/// The moving mean of how late a periodic timer fires.
#[derive(Clone, Debug, Default)]
pub struct LagMeter {
    mean_us: u64,
    is_late: bool,
}

impl LagMeter {
    /// Records by how much the timer fired later than it should have.
    pub fn record(&mut self, lag: Millis) -> Option<LagChange> {
        let lag_us = lag.min(LAG_MAX).0 * 1000;
        self.mean_us = (self.mean_us * (WEIGHT_DIVISOR - 1) + lag_us) / WEIGHT_DIVISOR;
        if !self.is_late && self.mean() >= LATE_FROM {
            self.is_late = true;
            return Some(LagChange::Late);
        }
        if self.is_late && self.mean() <= IN_TIME_TO {
            self.is_late = false;
            return Some(LagChange::InTime);
        }
        None
    }

    /// Returns the mean lag.
    pub fn mean(&self) -> Millis {
        Millis(self.mean_us / 1000)
    }
}
