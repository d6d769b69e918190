//! Plans, experiment files and figures.

use oleander_load::arrivals::{self, Arrivals};
use oleander_load::experiment::Experiment;
use oleander_load::experiment_file;
use oleander_load::measure::measure;
use oleander_load::outcome::{CallEnd, CallOutcome};
use oleander_load::run::{RunResult, StreamResult};
use oleander_load::stream_plan::{self, Work};
use oleander_standins::service::{ServiceRecord, ServiceRun};
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use std::path::PathBuf;

const SECOND_US: u64 = 1_000_000;

fn experiments() -> Vec<Experiment> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder).unwrap();
    let read = files.map(|file| experiment_file::read(&file.unwrap().path()).unwrap());
    read.collect()
}

fn experiment(name: &str) -> Experiment {
    let mut experiments = experiments().into_iter();
    experiments
        .find(|experiment| experiment.name == name)
        .unwrap()
}

#[test]
fn arrivals_follow_the_seed_and_keep_the_mean() {
    for kind in [Arrivals::Poisson, Arrivals::Bursty] {
        let times = arrivals::times(kind, 1000.0, 10 * SECOND_US, 5);
        assert_eq!(times, arrivals::times(kind, 1000.0, 10 * SECOND_US, 5));
        assert_ne!(times, arrivals::times(kind, 1000.0, 10 * SECOND_US, 6));
        assert!((9500..10_500).contains(&times.len()), "{}", times.len());
        assert!(times.is_sorted());
    }
    let bursty = arrivals::times(Arrivals::Bursty, 1000.0, 2 * SECOND_US, 5);
    let burst = bursty.iter().filter(|at_us| **at_us < 400_000).count();
    assert!((1050..1350).contains(&burst), "{burst}");
}

#[test]
fn every_experiment_offers_unique_work_at_its_load() {
    for experiment in experiments() {
        let deployment = &experiment.deployment;
        for stream in &experiment.streams {
            let nominal = stream.nominal_rate(&deployment.models, &deployment.services);
            assert!(nominal > 0.0, "{} {}", experiment.name, stream.name);
            let calls = stream_plan::plan(stream, nominal, SECOND_US, experiment.seed);
            let mut works: Vec<_> = calls
                .iter()
                .map(|call| format!("{:?}", call.work))
                .collect();
            works.sort();
            works.dedup();
            assert_eq!(works.len(), calls.len());
        }
    }
}

/// The first stream of an experiment, whose calls all ended in the same way.
fn ended(experiment: &Experiment, end: CallEnd) -> StreamResult {
    let cfg = experiment.streams[0].clone();
    let calls = stream_plan::plan(&cfg, 10.0, 10 * SECOND_US, 1);
    let outcomes = (0..calls.len()).map(|number| CallOutcome {
        number,
        latency_us: 1000,
        lag_us: 0,
        end,
    });
    StreamResult {
        outcomes: outcomes.collect(),
        rate: 10.0,
        cfg,
        calls,
    }
}

fn value(experiment: &Experiment, stream: StreamResult, runs: u64, metric: &str) -> f64 {
    let bodies = stream.calls.iter().filter_map(|call| match &call.work {
        Work::Service { body } => Some(body.clone()),
        Work::Completion { .. } => None,
    });
    let runs = bodies.flat_map(|body| {
        (0..runs).map(move |_| ServiceRun {
            request: String::new(),
            path: String::new(),
            key: String::new(),
            body: body.clone(),
        })
    });
    let result = RunResult {
        policy: Policy::Product,
        services: vec![ServiceRecord {
            runs: runs.collect(),
        }],
        streams: vec![stream],
        trainers: Vec::new(),
        engines: Vec::new(),
    };
    let measures = measure(experiment, &result);
    let found = measures.iter().find(|measure| measure.metric == metric);
    found.unwrap().value
}

#[test]
fn refusals_and_answers_are_judged_by_what_ran() {
    let experiment = experiment("overload-2x");
    let refused = CallEnd::Refused {
        kind: Some(ErrorKind::Overloaded),
        ran: Ran::No,
    };
    let untrue = |runs| {
        value(
            &experiment,
            ended(&experiment, refused),
            runs,
            "quotes.untrue-not-run",
        )
    };
    assert_eq!(untrue(0), 0.0);
    assert!(untrue(1) > 0.0);
    let doubled = |runs| {
        value(
            &experiment,
            ended(&experiment, CallEnd::Answered),
            runs,
            "quotes.doubled",
        )
    };
    assert_eq!(doubled(1), 0.0);
    assert!(doubled(2) > 0.0);
}

#[test]
fn an_unreadable_experiment_names_every_fault() {
    let text = "[experiment]\nseed = x\nstreams = a\n[stream a]\nmodel = m\nload = many\n";
    let settings = oleander_daemon::settings::Settings::parse(text).unwrap();
    let faults = experiment_file::parse(settings).unwrap_err().to_string();
    for expected in [
        "name: must be set",
        "seed: `x`",
        "load: `many`",
        "class: must be set",
    ] {
        assert!(faults.contains(expected), "{faults}");
    }
}
