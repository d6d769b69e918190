//! Quantiles over a window of recent values.

use hdrhistogram::Histogram;

/// Number of values in each histogram; the older one is dropped when the newer one is full.
const WINDOW: u64 = 1_000;
/// Greatest recorded value; greater ones are counted as this one.
const MAX_VALUE: u64 = 3_600_000_000;
/// Significant decimal digits of recorded values.
const DIGITS: u8 = 2;
/// Minimum number of values for a quantile.
const MIN_VALUES: u64 = 20;

/// The last 1000 to 2000 values, in two histograms of fixed size.
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
    /// Records a value.
    pub fn record(&mut self, value: u64) {
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(value);
    }

    /// Returns the `quantile` (0 to 1) of the recent values; `None` while there are too few.
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
