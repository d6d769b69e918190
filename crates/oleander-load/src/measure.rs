//! Figures of a run.

use crate::experiment::Experiment;
use crate::outcome::{CallEnd, CallOutcome};
use crate::ran_counts::RanCounts;
use crate::run::{RunResult, StreamResult, TrainerResult};
use hdrhistogram::Histogram;
use oleander_standins::step_plan::StepPlan;
use oleander_standins::step_record::StepRecord;
use oleanderlock::clock::Millis;
use oleanderlock::contract::Contract;
use oleanderlock::prelude::Ran;
use serde::Serialize;

/// Longest latency that the histograms tell apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Time after the last fault until calls count as settled, in milliseconds.
const SETTLE_MS: u64 = 2000;

/// One figure of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// Stream or trainer, a dot, and the name of the figure.
    pub metric: String,
    /// Value in `unit`.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

/// Latencies of one stream, in microseconds.
pub type Latencies = Histogram<u64>;

/// Returns all figures of a run.
pub fn measure(experiment: &Experiment, result: &RunResult) -> Vec<Measure> {
    let counts = RanCounts::of(result);
    let mut measures = Vec::new();
    for stream in &result.streams {
        let bound = bound_of(experiment, &stream.cfg.class);
        measures.extend(measure_stream(experiment, stream, bound, &counts));
    }
    for trainer in &result.trainers {
        measures.extend(measure_trainer(experiment, trainer));
        measures.push(token_share(result, &trainer.cfg.trainer));
    }
    measures.extend(measure_engines(result));
    measures
}

/// Returns the latencies of the calls that ended in a way, without the warm-up.
pub fn latencies(
    experiment: &Experiment,
    stream: &StreamResult,
    ended: impl Fn(&CallEnd) -> bool,
) -> Latencies {
    let outcomes = measured(experiment, stream).filter(|outcome| ended(&outcome.end));
    histogram(outcomes.map(|outcome| outcome.latency_us))
}

/// The tool's own lag; figures of a run in which it is large say little of the product.
fn lags(experiment: &Experiment, stream: &StreamResult) -> Latencies {
    histogram(measured(experiment, stream).map(|outcome| outcome.lag_us))
}

fn histogram(values_us: impl Iterator<Item = u64>) -> Latencies {
    let mut histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid");
    for value_us in values_us {
        histogram.saturating_record(value_us.max(1));
    }
    histogram
}

/// The calls that were due after the warm-up.
fn measured<'a>(
    experiment: &Experiment,
    stream: &'a StreamResult,
) -> impl Iterator<Item = &'a CallOutcome> + use<'a> {
    outcomes_after(stream, experiment.warmup.0 * 1000)
}

fn outcomes_after(stream: &StreamResult, from_us: u64) -> impl Iterator<Item = &CallOutcome> {
    let outcomes = stream.outcomes.iter();
    outcomes.filter(move |outcome| stream.calls[outcome.number].at_us >= from_us)
}

fn measure_stream(
    experiment: &Experiment,
    stream: &StreamResult,
    bound: Option<Millis>,
    counts: &RanCounts,
) -> Vec<Measure> {
    let name = &stream.cfg.name;
    let answered = latencies(experiment, stream, |end| *end == CallEnd::Answered);
    let refused = latencies(experiment, stream, |end| {
        matches!(end, CallEnd::Refused { .. })
    });
    let count = |ended: fn(&CallEnd) -> bool| {
        let outcomes = measured(experiment, stream);
        outcomes.filter(|outcome| ended(&outcome.end)).count() as f64
    };
    let bound_us = bound.map_or(u64::MAX, |bound| bound.0 * 1000);
    let good = measured(experiment, stream)
        .filter(|o| o.end == CallEnd::Answered && o.latency_us <= bound_us)
        .count();
    let seconds = experiment.duration.since(experiment.warmup).0 as f64 / 1000.0;
    let calls = count(|_| true);
    let work = |outcome: &CallOutcome| counts.runs(&stream.calls[outcome.number].work);
    let untrue = measured(experiment, stream).filter(|o| says_not_run(&o.end) && work(o) > 0);
    let untrue = untrue.count() as f64;
    let again: u64 = measured(experiment, stream)
        .map(|outcome| work(outcome).saturating_sub(1))
        .sum();
    let mut measures = vec![
        figure(name, "offered", calls / seconds, "1/s"),
        figure(name, "goodput", good as f64 / seconds, "1/s"),
        figure(
            name,
            "answered",
            count(|end| *end == CallEnd::Answered),
            "calls",
        ),
        figure(
            name,
            "refused",
            count(|end| matches!(end, CallEnd::Refused { .. })),
            "calls",
        ),
        figure(name, "refused-unknown", count(is_unknown), "calls"),
        figure(
            name,
            "broken",
            count(|end| *end == CallEnd::Broken),
            "calls",
        ),
        figure(name, "wrong", count(|end| *end == CallEnd::Wrong), "calls"),
        figure(
            name,
            "unsent",
            count(|end| *end == CallEnd::Unsent),
            "calls",
        ),
        figure(
            name,
            "send-lag-p99",
            ms(&lags(experiment, stream), 0.99),
            "ms",
        ),
        figure(name, "untrue-not-run", untrue, "calls"),
        figure(name, again_name(stream), again as f64, "runs"),
        figure(name, "p50", ms(&answered, 0.5), "ms"),
        figure(name, "p99", ms(&answered, 0.99), "ms"),
        figure(name, "refusal-p99", ms(&refused, 0.99), "ms"),
    ];
    if let Some(fault) = experiment.faults.last() {
        let from_us = (fault.at_ms + SETTLE_MS) * 1000;
        let settled = outcomes_after(stream, from_us);
        let settled = settled.filter(|outcome| outcome.end == CallEnd::Answered);
        let settled = histogram(settled.map(|outcome| outcome.latency_us));
        measures.push(figure(name, "p99-settled", ms(&settled, 0.99), "ms"));
    }
    if let Some(bound) = bound {
        measures.push(figure(name, "bound", bound.0 as f64, "ms"));
    }
    measures
}

/// Work that may run once only is doubled when it runs again.
fn again_name(stream: &StreamResult) -> &'static str {
    if stream.cfg.once {
        "doubled"
    } else {
        "run-again"
    }
}

fn says_not_run(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Refused { ran: Ran::No, .. })
}

fn is_unknown(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Refused { ran, .. } if *ran != Ran::No)
}

fn measure_trainer(experiment: &Experiment, trainer: &TrainerResult) -> Vec<Measure> {
    let name = &trainer.cfg.trainer;
    let steps = &trainer.record.steps;
    let whole: Vec<_> = steps
        .iter()
        .filter(|step| step.whole_ms.is_some())
        .collect();
    let sum = |of: fn(&StepRecord) -> u64| steps.iter().map(of).sum::<u64>() as f64;
    let idle: u64 = whole.iter().map(|step| step.idle_ms).sum();
    let least: u64 = whole
        .iter()
        .map(|step| least_ms(experiment, trainer, step.step))
        .sum();
    let lags: Vec<_> = steps.iter().flat_map(|step| &step.staleness).collect();
    let lag_sum: u64 = lags.iter().copied().sum();
    let per_step = whole.len().max(1) as f64;
    vec![
        figure(name, "steps", whole.len() as f64, "steps"),
        figure(name, "idle", idle as f64 / per_step, "ms/step"),
        figure(
            name,
            "idle-above-least",
            idle.saturating_sub(least) as f64 / per_step,
            "ms/step",
        ),
        figure(
            name,
            "staleness",
            lag_sum as f64 / lags.len().max(1) as f64,
            "versions",
        ),
        figure(name, "too-old", sum(|step| step.too_old), "samples"),
        figure(name, "doubled", sum(|step| step.doubled), "samples"),
        figure(
            name,
            "misattributed",
            sum(|step| step.misattributed),
            "samples",
        ),
        figure(name, "broken", sum(|step| step.broken), "samples"),
    ]
}

/// Time that the longest sample of a step takes on an idle engine, in milliseconds.
fn least_ms(experiment: &Experiment, trainer: &TrainerResult, step: u64) -> u64 {
    let plan = StepPlan::new(&trainer.cfg, step, 0);
    let lengths = plan.groups.iter().flat_map(|group| &group.lengths);
    let longest = lengths.max().copied().unwrap_or_default();
    let models = &experiment.deployment.models;
    let model = models.iter().find(|group| group.model == trainer.cfg.model);
    model.map_or(0, |group| longest * group.switches.token_us / 1000)
}

/// The trainer's part of all tokens that the engines made.
fn token_share(result: &RunResult, trainer: &str) -> Measure {
    let prefix = StepPlan::prompt_prefix(trainer);
    let runs = result.engines.iter().flat_map(|engine| &engine.runs);
    let own = runs.filter(|run| run.prompt.starts_with(&prefix));
    let own: u64 = own.map(|run| run.tokens).sum();
    let all: u64 = result.engines.iter().map(|engine| engine.tokens).sum();
    let share = 100.0 * own as f64 / all.max(1) as f64;
    figure(trainer, "token-share", share, "%")
}

fn measure_engines(result: &RunResult) -> Vec<Measure> {
    let runs: Vec<_> = result
        .engines
        .iter()
        .flat_map(|engine| &engine.runs)
        .collect();
    if runs.is_empty() {
        return Vec::new();
    }
    let cached = runs.iter().filter(|run| run.cached).count() as f64;
    let unfinished = runs.iter().filter(|run| !run.finished);
    let wasted: u64 = unfinished.map(|run| run.tokens).sum();
    let tokens: u64 = result.engines.iter().map(|engine| engine.tokens).sum();
    vec![
        figure(
            "engines",
            "prefix-hits",
            100.0 * cached / runs.len() as f64,
            "%",
        ),
        figure("engines", "tokens", tokens as f64, "tokens"),
        figure("engines", "unfinished-tokens", wasted as f64, "tokens"),
    ]
}

fn bound_of(experiment: &Experiment, class: &str) -> Option<Millis> {
    let texts = experiment.deployment.contracts.iter();
    let contracts = texts.filter_map(|text| Contract::parse(text).ok());
    let mut terms = contracts.filter_map(|contract| contract.classes.get(class).cloned());
    terms.next().map(|terms| terms.latency_bound)
}

fn ms(histogram: &Latencies, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn figure(of: &str, name: &str, value: f64, unit: &'static str) -> Measure {
    Measure {
        metric: format!("{of}.{name}"),
        value,
        unit,
    }
}
