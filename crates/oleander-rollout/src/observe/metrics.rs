//! Metrics of a process.

use crate::observe::log_sink;
use crate::prelude::*;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Prometheus metrics of a process; clones share them and are cheap.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    events: IntCounterVec,
    workspaces: IntCounterVec,
    latency: HistogramVec,
    memory: IntGaugeVec,
    kept: IntGaugeVec,
    lag: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric name")
        };
        let gauges = |name: &str, help: &str, label: &str| {
            IntGaugeVec::new(Opts::new(name, help), &[label]).expect("a valid metric name")
        };
        let latency = HistogramOpts::new("oleanderlock_latency_seconds", "Time by kind of work")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            refusals: counters("oleanderlock_refusals_total", "Refused work", "reason"),
            retries: counters("oleanderlock_retries_total", "Repeated attempts", "reason"),
            events: counters("oleanderlock_events_total", "Other events", "event"),
            workspaces: counters(
                "oleanderlock_workspace_requests_total",
                "Requests with a key, by workspace",
                "workspace",
            ),
            latency: HistogramVec::new(latency, &["work"]).expect("a valid metric name"),
            memory: gauges(
                "oleanderlock_memory_bytes",
                "Memory in use, by part",
                "part",
            ),
            kept: gauges("oleanderlock_kept", "Things that are kept, by kind", "kind"),
            lag: IntGauge::new(
                "oleanderlock_lag_milliseconds",
                "How late timers fire, mean",
            )
            .expect("a valid metric name"),
        };
        let registered = [
            metrics
                .registry
                .register(Box::new(metrics.refusals.clone())),
            metrics.registry.register(Box::new(metrics.retries.clone())),
            metrics.registry.register(Box::new(metrics.events.clone())),
            metrics
                .registry
                .register(Box::new(metrics.workspaces.clone())),
            metrics.registry.register(Box::new(metrics.latency.clone())),
            metrics.registry.register(Box::new(metrics.memory.clone())),
            metrics.registry.register(Box::new(metrics.kept.clone())),
            metrics.registry.register(Box::new(metrics.lag.clone())),
        ];
        assert!(
            registered.iter().all(Result::is_ok),
            "metric names are distinct"
        );
        metrics
    }
}

impl Metrics {
    /// Counts a refused request or load, by `reason`.
    pub fn record_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a retry or an item that runs again, by `reason`.
    pub fn record_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts an event that is neither a refusal nor a retry, by `name`.
    pub fn count_event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    /// Counts requests with a key of a workspace.
    pub fn count_workspace_requests(&self, workspace: &str, count: u64) {
        self.workspaces
            .with_label_values(&[workspace])
            .inc_by(count);
    }

    /// Removes the metrics of a workspace.
    pub fn remove_workspace(&self, workspace: &str) {
        // Fails only if there are none.
        let _ = self.workspaces.remove_label_values(&[workspace]);
    }

    /// Sets the memory that a part of the process uses, in bytes.
    pub fn set_memory(&self, part: &str, bytes: usize) {
        set(&self.memory, part, bytes);
    }

    /// Sets how many things of a kind are kept.
    pub fn set_kept(&self, kind: &str, count: usize) {
        set(&self.kept, kind, count);
    }

    /// Sets by how much timers of the process fire late.
    pub fn set_lag(&self, lag: Millis) {
        self.lag.set(i64::try_from(lag.0).unwrap_or(i64::MAX));
    }

    /// Records the latency of one piece of work, by the kind `work`.
    pub fn record_latency(&self, work: &str, length: Millis) {
        let seconds = length.0 as f64 / 1000.0;
        self.latency.with_label_values(&[work]).observe(seconds);
    }

    /// Returns all metrics in the text format of Prometheus; empty if encoding fails.
    pub fn encode(&self) -> String {
        let dropped = self.events.with_label_values(&["log_lines_dropped"]);
        let more = log_sink::dropped().saturating_sub(dropped.get());
        dropped.inc_by(more);
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            event(log::Level::Warn, "metrics-failed", || {
                format!("reason=\"{error}\"")
            });
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

fn set(gauges: &IntGaugeVec, label: &str, value: usize) {
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    gauges.with_label_values(&[label]).set(value);
}
