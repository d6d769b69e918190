//! The endpoints of a replay.

use super::call::Call;
use super::case::{Case, SLOTS};
use indexmap::IndexMap;
use oleanderlock::prelude::*;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Calls that wait at a full endpoint before it refuses more.
const QUEUE_MAX: usize = 4;
/// Mean time of a slowdown, and between two, in microseconds: 15% of the time.
const SLOW_US: f64 = 1_500_000.0;
const SOUND_US: f64 = 8_500_000.0;

/// An endpoint of a replay.
#[derive(Debug)]
pub struct Endpoint {
    pub entry: EndpointEntry,
    speed: f64,
    // Times at which it becomes slow and sound again, in turn.
    changes: Vec<u64>,
    pub running: usize,
    pub waiting: VecDeque<Call>,
    /// Occupied slots times microseconds: in all, and by window of 100 ms.
    pub busy: Vec<u64>,
    counted_at: u64,
    pub calls: u64,
}

impl Endpoint {
    /// Returns endpoint `index` of a case.
    pub fn new(case: &Case, index: usize, rng: &mut StdRng) -> Self {
        let end = case.seconds * 1_000_000;
        let mut changes = Vec::new();
        let mut at = rng.random_range(0.0..SOUND_US);
        while case.slowdowns && (at as u64) < end {
            changes.push(at as u64);
            let mean = if changes.len().is_multiple_of(2) {
                SOUND_US
            } else {
                SLOW_US
            };
            at += -mean * (1.0 - rng.random::<f64>()).ln();
        }
        Self {
            entry: EndpointEntry {
                instance: format!("i-{index}"),
                started_unix_ms: None,
                service: "desk".to_owned(),
                software: None,
                addr: "127.0.0.1:1000".parse().expect("the address is valid"),
                domain: domain(index),
                slots: SLOTS,
                state: EndpointState::Ready,
                warm_up: Millis::ZERO,
                weights: IndexMap::new(),
            },
            speed: 0.6 * (1.6f64 / 0.6).powf(rng.random()),
            changes,
            running: 0,
            waiting: VecDeque::new(),
            busy: vec![0; case.seconds as usize * 10],
            counted_at: 0,
            calls: 0,
        }
    }

    /// Returns how long work takes that begins now.
    pub fn time_of(&self, work_us: f64, slower: f64, now: u64) -> u64 {
        let past = self.changes.iter().filter(|at| **at <= now).count();
        let slow = if past % 2 == 1 { 2.5 } else { 1.0 };
        (work_us / self.speed * slow * slower).max(1.0) as u64
    }

    /// Whether a call that arrives now is refused.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= QUEUE_MAX
    }

    /// Counts the occupied slots up to `now`.
    pub fn count_busy(&mut self, now: u64) {
        while self.counted_at < now {
            let window = self.counted_at / 100_000;
            let until = now.min((window + 1) * 100_000);
            if let Some(busy) = self.busy.get_mut(window as usize) {
                *busy += self.running as u64 * (until - self.counted_at);
            }
            self.counted_at = until;
        }
    }
}

/// Returns the speed of the first endpoint of a case over the mean of all.
pub fn speed_of_first(case: &Case) -> f64 {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let endpoints = (0..case.endpoints).map(|index| Endpoint::new(case, index, &mut rng));
    let speeds: Vec<f64> = endpoints.map(|endpoint| endpoint.speed).collect();
    speeds[0] * speeds.len() as f64 / speeds.iter().sum::<f64>()
}

/// Returns the failure domain of an endpoint or chooser.
pub fn domain(index: usize) -> String {
    ["a", "b", "c"][index % 3].to_owned()
}
