//! A budget of further attempts as a share of first attempts.

/// What one further attempt costs, and a first attempt earns at 100 percent.
const ATTEMPT_UNITS: u64 = 100;
/// Most further attempts that can be saved up.
const MAX_SAVED: u64 = 100;

/// A token bucket that first attempts fill and further ones empty.
///
/// It starts empty, so further attempts never exceed their share of all first attempts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBudget {
    percent: u64,
    units: u64,
}

impl AttemptBudget {
    /// Creates an empty budget that earns `percent` of a further attempt from each first one.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            units: 0,
        }
    }

    /// Changes the share; what is saved is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Earns from one first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + self.percent).min(MAX_SAVED * ATTEMPT_UNITS);
    }

    /// Pays for one further attempt; `false` when the budget is spent.
    pub fn spend(&mut self) -> bool {
        let left = self.units.checked_sub(ATTEMPT_UNITS);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }

    /// Returns the further attempts that can be paid for now.
    pub fn left(&self) -> u64 {
        self.units / ATTEMPT_UNITS
    }
}
