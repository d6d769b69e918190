//! Predicts service times from measured ones.

use crate::prelude::*;

/// Weight of a new measurement in the moving averages.
const GAIN: f64 = 0.05;
/// Number of measurements before [`GAIN`] applies; up to it, all have equal weight.
const WARM_UP: f64 = 20.0;
/// Variance of the cost, in tokens squared, below which the slope is taken as zero.
const FLAT_VARIANCE: f64 = 0.5;

/// An exponentially weighted linear regression of service time on estimated cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimeModel {
    samples: f64,
    cost: f64,
    time: f64,
    cost_variance: f64,
    covariance: f64,
}

impl ServiceTimeModel {
    /// Records that work of `cost` estimated tokens held its slot for `time`.
    pub fn record(&mut self, cost: u64, time: Millis) {
        self.samples += 1.0;
        let gain = (1.0 / self.samples).max(if self.samples < WARM_UP { 0.0 } else { GAIN });
        let cost_error = cost as f64 - self.cost;
        let time_error = time.0 as f64 - self.time;
        self.cost += gain * cost_error;
        self.time += gain * time_error;
        let keep = 1.0 - gain;
        self.cost_variance = keep * (self.cost_variance + gain * cost_error * cost_error);
        self.covariance = keep * (self.covariance + gain * cost_error * time_error);
    }

    /// Returns whether nothing has been recorded yet.
    pub fn is_empty(&self) -> bool {
        self.samples == 0.0
    }

    /// Returns the expected service time of work of `cost` tokens; zero before the first
    /// measurement.
    pub fn estimate(&self, cost: u64) -> Millis {
        let expected = self.time + self.slope() * (cost as f64 - self.cost);
        Millis(expected.max(0.0).round() as u64)
    }

    /// Returns the mean number of tokens that one slot serves in a second; zero while the mean
    /// service time is below one millisecond.
    pub fn tokens_per_second(&self) -> f64 {
        if self.time < 1.0 {
            return 0.0;
        }
        self.cost * 1000.0 / self.time
    }

    /// Returns the milliseconds for each token, at most the line through the origin: a steeper one
    /// would predict negative times for small costs.
    fn slope(&self) -> f64 {
        if self.cost_variance < FLAT_VARIANCE {
            return 0.0;
        }
        let steepest = self.time / self.cost.max(1.0);
        (self.covariance / self.cost_variance).clamp(0.0, steepest)
    }
}
