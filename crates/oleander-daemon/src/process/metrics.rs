//! Metrics of a process.

use crate::prelude::*;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::sync::Arc;

/// Upper bounds of the duration buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// The metrics that all daemons have; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    counts: IntCounterVec,
    latency: Histogram,
    pull_wait: Histogram,
    staleness: Histogram,
    in_flight: IntGauge,
    encoder: Arc<TextEncoder>,
}

impl Metrics {
    /// Creates the metrics of a daemon; their names start with `prefix` and an underscore.
    ///
    /// # Panics
    ///
    /// Panics when `prefix` is not a valid metric name.
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
            pull_wait: histogram(
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
            encoder: Arc::new(TextEncoder::new()),
        };
        metrics.register();
        metrics
    }

    /// Counts refused work under the name of its error kind.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[<&str>::from(kind)]).inc();
    }

    /// Counts a retry under the error kind of the attempt before.
    pub fn record_retry(&self, kind: ErrorKind) {
        self.retries.with_label_values(&[<&str>::from(kind)]).inc();
    }

    /// Counts an event by its name.
    pub fn count_event(&self, event: &'static str) {
        self.counts.with_label_values(&[event]).inc();
    }

    /// Records the time from a request to its complete answer.
    pub fn record_latency(&self, latency: Millis) {
        self.latency.observe(seconds(latency));
    }

    /// Records how long a trainer's pull waited for its answer.
    pub fn record_pull_wait(&self, wait: Millis) {
        self.pull_wait.observe(seconds(wait));
    }

    /// Records how many versions a delivered sample is behind its trainer.
    pub fn record_staleness(&self, versions_behind: u64) {
        self.staleness.observe(versions_behind as f64);
    }

    /// Adds one to the work in flight.
    pub fn begin_work(&self) {
        self.in_flight.inc();
    }

    /// Subtracts one from the work in flight.
    pub fn end_work(&self) {
        self.in_flight.dec();
    }

    /// Returns the number of requests or attempts in flight.
    pub fn in_flight(&self) -> u64 {
        u64::try_from(self.in_flight.get()).unwrap_or_default()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        let mut buf = Vec::new();
        // Writing to memory fails only for invalid metrics, which `register` has rejected.
        let _ = self.encoder.encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }

    fn register(&self) {
        let registry = &self.registry;
        let results = [
            registry.register(Box::new(self.refusals.clone())),
            registry.register(Box::new(self.retries.clone())),
            registry.register(Box::new(self.counts.clone())),
            registry.register(Box::new(self.latency.clone())),
            registry.register(Box::new(self.pull_wait.clone())),
            registry.register(Box::new(self.staleness.clone())),
            registry.register(Box::new(self.in_flight.clone())),
        ];
        assert!(
            results.iter().all(Result::is_ok),
            "metric names are distinct"
        );
    }
}

fn seconds(duration: Millis) -> f64 {
    duration.0 as f64 / 1000.0
}
