//! Decides how many endpoints a service has in a failure domain.

use super::scale_input::ScaleInput;
use crate::prelude::*;
use std::collections::VecDeque;

/// Slots that are provided for each call that is expected, so that none waits for a slot.
const HEADROOM: f64 = 1.3;
/// Time over which the rise of the load is measured.
const TREND_TIME: Millis = Millis::from_secs(5);
/// Most that the load is expected to rise within the boot time, as a share of the load: a burst looks
/// like a rise that goes on.
const RISE_MAX: f64 = 0.5;
/// Shortest time for which the load must have been low before endpoints are given up.
const HOLD_MIN: Millis = Millis::from_secs(30);
/// Time that endpoints are kept after the load has fallen, in boot times: what is given up takes one
/// boot time to come back.
const HOLD_BOOTS: u64 = 2;
/// Samples of which the middle one counts, so that a single false report orders nothing.
const MEDIAN_OF: usize = 3;

/// Decides how many endpoints a service has in a failure domain.
///
/// Endpoints are ordered ahead of a rising load, for the time at which they will serve, and given up
/// only after the load has been low for some time.
#[derive(Clone, Debug, Default)]
pub struct ScalePlan {
    raw: VecDeque<f64>,
    // Loads of the last time, each the median of the last raw ones, oldest first.
    loads: VecDeque<(Millis, f64)>,
    // Endpoints that were wanted since the hold time, oldest first.
    wanted: VecDeque<(Millis, u32)>,
}

impl ScalePlan {
    /// Takes the load and returns the number of endpoints to order; `None` if it is to stay.
    pub fn decide(&mut self, now: Millis, input: &ScaleInput) -> Option<u32> {
        let limits = input.limits;
        let hold = HOLD_MIN.max(Millis(limits.boot.0.saturating_mul(HOLD_BOOTS)));
        let load = self.record(now, input.load);
        let current = input.ordered.unwrap_or(input.listed);
        let clamped = |count: u32| count.clamp(limits.min, limits.max.max(limits.min));
        let rise = self.rise_per_ms(now, load) * limits.boot.0 as f64;
        let expected = load + rise.min(load * RISE_MAX);
        // A load that is doubled at once is served in two steps, so that no wrong report orders all.
        let growth_max = current.max(1).saturating_mul(2).saturating_add(1);
        let wanted = clamped(needed(expected, input.slots).min(growth_max));
        self.wanted.push_back((now, wanted));
        while self.wanted.len() > 1 && now.since(self.wanted[1].0) >= hold {
            self.wanted.pop_front();
        }
        if wanted > current {
            return Some(wanted);
        }
        let is_known = self
            .wanted
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= hold);
        let highest = self.wanted.iter().map(|(_, wanted)| *wanted).max();
        let kept = highest.unwrap_or(wanted);
        (kept < current && (is_known || current > limits.max)).then_some(kept)
    }

    /// Adds a load and returns the median of the last ones.
    fn record(&mut self, now: Millis, load: f64) -> f64 {
        self.raw
            .push_back(if load.is_finite() { load.max(0.0) } else { 0.0 });
        if self.raw.len() > MEDIAN_OF {
            self.raw.pop_front();
        }
        let mut sorted: Vec<f64> = self.raw.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[(sorted.len() - 1) / 2];
        self.loads.push_back((now, median));
        while self.loads.len() > 1 && now.since(self.loads[1].0) >= TREND_TIME {
            self.loads.pop_front();
        }
        median
    }

    /// Returns by how much the load rises in a millisecond; 0 if it falls.
    fn rise_per_ms(&self, now: Millis, load: f64) -> f64 {
        let mut recent = self.loads.iter();
        let oldest = recent.find(|(at, _)| now.since(*at) <= TREND_TIME);
        let Some((at, before)) = oldest else {
            return 0.0;
        };
        let time = now.since(*at).0;
        if time == 0 {
            return 0.0;
        }
        ((load - before) / time as f64).max(0.0)
    }
}

/// Returns the endpoints that a number of concurrent calls needs.
fn needed(load: f64, slots: u32) -> u32 {
    (load * HEADROOM / f64::from(slots.max(1))).ceil() as u32
}
