//! Seeded open-loop arrivals.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumString, VariantArray};

/// Length of one cycle of bursty arrivals, in microseconds.
const BURST_CYCLE_US: f64 = 2_000_000.0;
/// Part of each cycle that is a burst.
const BURST_PART: f64 = 0.2;
/// Rate in a burst as a multiple of the mean.
const BURST_FACTOR: f64 = 3.0;
/// Rate between bursts as a multiple of the mean, so that the mean holds.
const CALM_FACTOR: f64 = 0.5;

/// How arrivals are spread in time.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, PartialEq, Eq, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub enum Arrivals {
    /// Independent arrivals at a constant rate.
    #[default]
    Poisson,
    /// Independent arrivals at a rate that triples for a fifth of every two seconds.
    Bursty,
}

/// Returns the intended send times in microseconds, for `length_us` at `per_second` on average.
pub fn times(kind: Arrivals, per_second: f64, length_us: u64, seed: u64) -> Vec<u64> {
    if per_second <= 0.0 {
        return Vec::new();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at_us = 0.0;
    let mut times = Vec::new();
    loop {
        let uniform: f64 = 1.0 - rng.random::<f64>();
        let rate_us = per_second * factor(kind, at_us) / 1_000_000.0;
        at_us += -uniform.ln() / rate_us;
        if at_us >= length_us as f64 {
            return times;
        }
        times.push(at_us as u64);
    }
}

fn factor(kind: Arrivals, at_us: f64) -> f64 {
    match kind {
        Arrivals::Poisson => 1.0,
        Arrivals::Bursty if at_us % BURST_CYCLE_US < BURST_PART * BURST_CYCLE_US => BURST_FACTOR,
        Arrivals::Bursty => CALM_FACTOR,
    }
}
