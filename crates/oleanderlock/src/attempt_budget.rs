//! A budget for retries or hedged attempts, as a percentage of first attempts.

/// Units that one extra attempt costs, so that a first attempt earns as many units as the
/// percentage.
const ATTEMPT_UNITS: u64 = 100;
/// Maximum number of extra attempts that can accumulate.
const MAX_SAVED: u64 = 100;

/// A token bucket that first attempts fill and extra attempts drain.
///
/// It starts empty, so extra attempts never exceed their percentage of all first attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBudget {
    percent: u64,
    units: u64,
}

impl AttemptBudget {
    /// Creates an empty budget that allows `percent` extra attempts for each 100 first attempts.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            units: 0,
        }
    }

    /// Changes the percentage; units earned before are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Counts one first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + self.percent).min(MAX_SAVED * ATTEMPT_UNITS);
    }

    /// Spends the units of one extra attempt; returns `false` if there are too few.
    pub fn spend(&mut self) -> bool {
        let left = self.units.checked_sub(ATTEMPT_UNITS);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }

    /// Returns the number of extra attempts that the budget allows now.
    pub fn left(&self) -> u64 {
        self.units / ATTEMPT_UNITS
    }
}
