//! Metrics of a process.

use crate::prelude::*;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::sync::Arc;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// The metrics that every daemon keeps; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    counts: IntCounterVec,
    latency: Histogram,
    idle: Histogram,
    staleness: Histogram,
    in_flight: IntGauge,
    scrape: Arc<TextEncoder>,
}

impl Metrics {
    /// Creates the metrics of a daemon, with names that start with `prefix`.
    ///
    /// # Panics
    ///
    /// Panics when `prefix` is no valid metric name.
    pub fn new(prefix: &str) -> Self {
        let name = |suffix: &str| format!("{prefix}_{suffix}");
        let counters = |suffix: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name(suffix), help), &[label]).expect("a valid name")
        };
        let histogram = |suffix: &str, help: &str, buckets: &[f64]| {
            let opts = HistogramOpts::new(name(suffix), help).buckets(buckets.to_vec());
            Histogram::with_opts(opts).expect("a valid name")
        };
        let metrics = Self {
            registry: Registry::new(),
            refusals: counters("refusals_total", "Refused work by reason", "reason"),
            retries: counters("retries_total", "Repeated attempts by reason", "reason"),
            counts: counters("events_total", "Other events by name", "event"),
            latency: histogram(
                "latency_seconds",
                "Time to the whole answer",
                &LATENCY_BUCKETS_S,
            ),
            idle: histogram(
                "trainer_wait_seconds",
                "Time that a trainer's pull waited",
                &LATENCY_BUCKETS_S,
            ),
            staleness: histogram(
                "sample_staleness_versions",
                "Versions behind the trainer's at delivery",
                &[0.0, 1.0, 2.0, 3.0, 5.0, 8.0],
            ),
            in_flight: IntGauge::new(name("in_flight"), "Work in flight").expect("a valid name"),
            scrape: Arc::new(TextEncoder::new()),
        };
        metrics.register();
        metrics
    }

    /// Counts a refusal.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[<&str>::from(kind)]).inc();
    }

    /// Counts a repeated attempt.
    pub fn retried(&self, kind: ErrorKind) {
        self.retries.with_label_values(&[<&str>::from(kind)]).inc();
    }

    /// Counts another event.
    pub fn count(&self, event: &'static str) {
        self.counts.with_label_values(&[event]).inc();
    }

    /// Notes the latency of a whole answer.
    pub fn answered(&self, latency: Millis) {
        self.latency.observe(seconds(latency));
    }

    /// Notes how long a trainer's pull waited.
    pub fn waited(&self, length: Millis) {
        self.idle.observe(seconds(length));
    }

    /// Notes how many versions a delivered sample is behind its trainer.
    pub fn delivered(&self, versions_behind: u64) {
        self.staleness.observe(versions_behind as f64);
    }

    /// Counts work that began.
    pub fn began(&self) {
        self.in_flight.inc();
    }

    /// Counts work that ended.
    pub fn ended(&self) {
        self.in_flight.dec();
    }

    /// Returns how much work is in flight.
    pub fn in_flight(&self) -> u64 {
        u64::try_from(self.in_flight.get()).unwrap_or_default()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to memory fails only for invalid metrics, which registering refuses.
        let _ = self.scrape.encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }

    fn register(&self) {
        let registry = &self.registry;
        let results = [
            registry.register(Box::new(self.refusals.clone())),
            registry.register(Box::new(self.retries.clone())),
            registry.register(Box::new(self.counts.clone())),
            registry.register(Box::new(self.latency.clone())),
            registry.register(Box::new(self.idle.clone())),
            registry.register(Box::new(self.staleness.clone())),
            registry.register(Box::new(self.in_flight.clone())),
        ];
        assert!(
            results.iter().all(Result::is_ok),
            "metric names are distinct"
        );
    }
}

fn seconds(length: Millis) -> f64 {
    length.0 as f64 / 1000.0
}
