//! Quantiles of recent values.

use hdrhistogram::Histogram;

/// Values after which the older half is forgotten.
const WINDOW: u64 = 1_000;
/// Greatest value that is told apart from greater ones.
const MAX_VALUE: u64 = 3_600_000_000;
/// Digits that are kept.
const DIGITS: u8 = 2;
/// Values before quantiles are given.
const MIN_VALUES: u64 = 20;

/// The last one to two thousand values, in two histograms of a fixed size.
#[derive(Clone, Debug)]
pub struct Quantiles {
    current: Histogram<u64>,
    previous: Histogram<u64>,
}

impl Default for Quantiles {
    fn default() -> Self {
        let new = || Histogram::new_with_bounds(1, MAX_VALUE, DIGITS).expect("fixed bounds");
        Self {
            current: new(),
            previous: new(),
        }
    }
}

impl Quantiles {
    /// Takes in a value.
    pub fn record(&mut self, value: u64) {
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(value);
    }

    /// Returns the value below which `quantile` (0 to 1) of the recent values lie; `None` while
    /// there are few.
    pub fn at(&self, quantile: f64) -> Option<u64> {
        let is_full = !self.previous.is_empty();
        let known = if is_full {
            &self.previous
        } else {
            &self.current
        };
        (known.len() >= MIN_VALUES).then(|| known.value_at_quantile(quantile))
    }
}
