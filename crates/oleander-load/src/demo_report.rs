//! The report of the demo, for a person.

use crate::demo::ContractTiming;
use crate::demo_faults::DrainReport;
use crate::order_ledger::{OrderVerdict, percentile};
use crate::promise::Promise;
use oleander_standins::step_record::{StepRecord, TrainerRecord};

/// Bound on the latency of the class in the contract, in milliseconds.
const LATENCY_BOUND_MS: u64 = 800;
/// Time within which an accepted contract must be in force at today's size, in milliseconds.
const IN_FORCE_BOUND_MS: u64 = 2000;
/// Metrics that the report shows.
const SHOWN_METRICS: [&str; 2] = ["refusals_total", "retries_total"];

/// All that the demo has seen.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// The orders.
    pub orders: OrderVerdict,
    /// The trainers.
    pub trainers: Vec<TrainerRecord>,
    /// The drained engine.
    pub drain: DrainReport,
    /// The contract.
    pub contract: ContractTiming,
    /// Metrics text of each entry.
    pub metrics: Vec<String>,
}

impl DemoReport {
    /// Judges all promises.
    pub fn promises(&self) -> Vec<Promise> {
        let orders = &self.orders;
        let late = orders
            .latencies_ms
            .iter()
            .filter(|ms| **ms > LATENCY_BOUND_MS)
            .count();
        let p99 = percentile(&orders.latencies_ms, 99);
        let drained = self.drain.at_end - self.drain.after_leaving;
        vec![
            Promise::new(
                "samples name the versions that made them",
                self.sum(|step| step.misattributed) == 0,
                format!("misattributed={}", self.sum(|step| step.misattributed)),
            ),
            Promise::new(
                "no sample is older than the bound",
                self.sum(|step| step.too_old) == 0,
                format!("too_old={}", self.sum(|step| step.too_old)),
            ),
            Promise::new(
                "every sample is delivered exactly once",
                self.sum(|step| step.doubled) == 0 && self.lost() == 0 && self.unfinished() == 0,
                format!(
                    "delivered={} doubled={} lost={} unfinished_steps={}",
                    self.sum(|step| step.delivered),
                    self.sum(|step| step.doubled),
                    self.lost(),
                    self.unfinished()
                ),
            ),
            Promise::new(
                "callers receive the whole answer to their own request",
                orders.wrong == 0 && orders.made_up == 0 && orders.cut_off == 0,
                format!(
                    "whole={} wrong={} made_up={} cut_off={}",
                    orders.whole, orders.wrong, orders.made_up, orders.cut_off
                ),
            ),
            Promise::new(
                "a refusal that says not run is true",
                orders.false_not_run == 0,
                format!("false_not_run={}", orders.false_not_run),
            ),
            Promise::new(
                "a quote runs at most once",
                orders.doubled == 0,
                format!("doubled={}", orders.doubled),
            ),
            Promise::new(
                "a leaving endpoint gets no new work after a few seconds",
                drained == 0 && self.drain.before > 0,
                format!("runs_before={} new_runs={drained}", self.drain.before),
            ),
            Promise::new(
                "a graceful stop cuts off no request",
                orders.broken == 0,
                format!("connections_cut_off={}", orders.broken),
            ),
            Promise::new(
                "an accepted contract is in force within seconds",
                self.contract.in_force_ms <= IN_FORCE_BOUND_MS,
                format!(
                    "in_force_ms={} bound_ms={IN_FORCE_BOUND_MS}",
                    self.contract.in_force_ms
                ),
            ),
            Promise::new(
                "99% of answers are within the contract",
                p99 <= LATENCY_BOUND_MS,
                format!("p99_ms={p99} bound_ms={LATENCY_BOUND_MS} late={late}"),
            ),
        ]
    }

    /// Prints the report; returns whether all promises were kept.
    pub fn print(&self) -> bool {
        self.print_orders();
        self.print_trainers();
        let promises = self.promises();
        println!("\npromises, judged by the stand-ins' records");
        for promise in &promises {
            println!("  {promise}");
        }
        let kept = promises.iter().filter(|promise| promise.kept).count();
        let broken = promises.len() - kept;
        println!("demo: passed={kept} failed={broken}");
        broken == 0
    }

    fn print_orders(&self) {
        let orders = &self.orders;
        println!(
            "\ninteractive calls: sent={} whole={}",
            orders.sent, orders.whole
        );
        let at = |percent| percentile(&orders.latencies_ms, percent);
        println!("  latency ms: p50={} p90={} p99={}", at(50), at(90), at(99));
        for (kind, count) in &orders.refusals {
            println!("  refused {kind}: {count}");
        }
        println!("counters of the entries");
        for (number, text) in self.metrics.iter().enumerate() {
            let shown = |line: &&str| SHOWN_METRICS.iter().any(|name| line.contains(name));
            for line in text
                .lines()
                .filter(|line| !line.starts_with('#'))
                .filter(shown)
            {
                println!("  entry {}: {line}", number + 1);
            }
        }
    }

    fn print_trainers(&self) {
        for (number, trainer) in self.trainers.iter().enumerate() {
            println!("trainer {}", number + 1);
            for step in &trainer.steps {
                let staleness = step.staleness.iter().sum::<u64>() as f64;
                let mean = staleness / step.staleness.len().max(1) as f64;
                println!(
                    "  step {}: delivered={} idle_ms={} mean_staleness={mean:.2} versions",
                    step.step, step.delivered, step.idle_ms
                );
            }
        }
    }

    fn steps(&self) -> impl Iterator<Item = &StepRecord> {
        self.trainers.iter().flat_map(|trainer| &trainer.steps)
    }

    fn sum(&self, count: impl Fn(&StepRecord) -> u64) -> u64 {
        self.steps().map(count).sum()
    }

    /// Samples of whole steps that were never delivered, and ones that were not whole.
    fn lost(&self) -> u64 {
        self.sum(|step| step.broken)
    }

    fn unfinished(&self) -> usize {
        let unfinished = self
            .trainers
            .iter()
            .filter(|trainer| !trainer.finished)
            .count();
        self.steps().filter(|step| step.whole_ms.is_none()).count() + unfinished
    }
}
