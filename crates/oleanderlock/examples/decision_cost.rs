//! Prints the mean cost of each decision in nanoseconds at four sizes: slots of the endpoint for
//! `admission-*`, endpoints for `choose-*` and `choice-tick`, candidates for `subset`.
//!
//! `cargo run --release -p oleanderlock --example decision_cost`

use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::endpoint::{EndpointInfo, EndpointKey, EndpointReport, EndpointState, Proximity};
use oleanderlock::endpoint_choice::{ChoiceConfig, EndpointChoice};
use oleanderlock::load::Load;
use oleanderlock::prelude::*;
use oleanderlock::shares::ClassGrant;
use oleanderlock::subset::{Candidate, SubsetSize, choose_subset};
use oleanderlock::trainer_preference::TrainerPreference;
use oleanderlock::work::{AdmissionAction, Verdict, Work};
use std::hint::black_box;
use std::time::Instant;

/// Slots, endpoints or candidates, by decision.
const SIZES: [usize; 4] = [8, 32, 128, 512];
/// Decisions over which a cost is averaged.
const CALLS: u32 = 20_000;

fn main() {
    for size in SIZES {
        print("admission-submit-finish", size, admission_cost(size));
        print("admission-refuse", size, refusal_cost(size));
        print("choose-prefix", size, choice_cost(size, Some(())));
        print("choose-near", size, choice_cost(size, None));
        print("choice-tick", size, tick_cost(size));
        print("subset", size, subset_cost(size));
    }
}

fn print(decision: &str, size: usize, nanoseconds: f64) {
    println!("cost decision={decision} size={size} value={nanoseconds:.0} unit=ns");
}

fn time(calls: u32, mut call: impl FnMut(u64)) -> f64 {
    let began = Instant::now();
    (0..u64::from(calls)).for_each(&mut call);
    began.elapsed().as_nanos() as f64 / f64::from(calls)
}

/// An endpoint with `size` slots, all in use, and one class for eight slots, but at least 2 and at
/// most 16 classes.
struct Bench {
    admission: Admission,
    running: Vec<Ticket>,
    classes: usize,
    next: u64,
}

impl Bench {
    fn new(size: usize) -> Self {
        let classes = (size / 8).clamp(2, 16);
        let grant = |class: usize| ClassGrant {
            name: format!("class-{class}").into(),
            share_percent: (100 / classes) as u32,
            latency_bound: Millis(60_000),
        };
        let mut admission = Admission::new(AdmissionConfig::for_capacity(size));
        admission.set_classes(&(0..classes).map(grant).collect::<Vec<_>>());
        let mut bench = Self {
            admission,
            running: Vec::new(),
            classes,
            next: 0,
        };
        while bench.running.len() < size {
            bench.submit(0, 60_000);
        }
        bench
    }

    fn submit(&mut self, now: u64, ms_to_deadline: u64) -> Verdict {
        self.next += 1;
        let class = format!("class-{}", self.next as usize % self.classes);
        let work = Work {
            ticket: Ticket {
                request: RequestId(self.next.into()),
                ..Ticket::default()
            },
            class: self
                .admission
                .class(class.as_bytes())
                .expect("the class was set in Bench::new"),
            kind: WorkKind::Interactive,
            priority: 1,
            deadline: Millis(now + ms_to_deadline),
            cost: 100,
        };
        let verdict = self.admission.submit(Millis(now), work);
        if verdict == Verdict::Start {
            self.running.push(work.ticket);
        }
        verdict
    }

    fn finish(&mut self, now: u64, draw: usize) {
        let index = draw % self.running.len();
        let ticket = self.running.swap_remove(index);
        for action in self.admission.finish(Millis(now), ticket, 100) {
            if let AdmissionAction::Start(ticket) = action {
                self.running.push(ticket);
            }
        }
    }
}

fn admission_cost(size: usize) -> f64 {
    let mut bench = Bench::new(size);
    for _ in 0..2 * size {
        bench.submit(1, 60_000);
    }
    time(CALLS, |call| {
        black_box(bench.submit(1 + call / 100, 60_000));
        bench.finish(1 + call / 100, call as usize * 7);
    })
}

fn refusal_cost(size: usize) -> f64 {
    let mut bench = Bench::new(size);
    (0..size).for_each(|call| {
        bench.submit(100, 60_000);
        bench.finish(100, call * 7);
    });
    time(CALLS, |_| {
        black_box(bench.submit(101, 1));
    })
}

fn endpoints(size: usize) -> (EndpointChoice, Vec<EndpointKey>) {
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let keys = (0..size as u64).map(|identity| {
        let info = EndpointInfo {
            identity,
            proximity: [Proximity::Domain, Proximity::Region][identity as usize % 2],
            targets: vec!["advisor".into()],
        };
        let key = choice.insert(Millis::ZERO, info);
        let load = Load {
            running: identity as u32 % 8,
            capacity: 16,
            ..Load::default()
        };
        let report = EndpointReport {
            state: EndpointState::Serving,
            load,
            version: Some(Version(1)),
        };
        choice.apply_report(Millis::ZERO, key, report);
        (0..20).for_each(|_| choice.record_pace(Millis::ZERO, key, Millis(20), 10));
        key
    });
    let keys = keys.collect();
    (choice, keys)
}

fn choice_cost(size: usize, prefix: Option<()>) -> f64 {
    let (mut choice, _) = endpoints(size);
    time(CALLS, |call| {
        let draw = call.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let req = ChoiceRequest {
            target: b"advisor",
            prefix: prefix.map(|()| draw),
            deadline: Millis(10_000),
            kind: WorkKind::Interactive,
            preference: TrainerPreference::Idle,
            excluded: &[],
            draw,
        };
        let key = choice
            .choose(Millis(1), &req)
            .expect("no endpoint was chosen, though all are serving");
        choice.record_start(Millis(1), key);
        choice.record_end(Millis(2), black_box(key), AttemptEnd::Finished);
    })
}

fn tick_cost(size: usize) -> f64 {
    let (mut choice, _) = endpoints(size);
    time(200, |call| drop(black_box(choice.tick(Millis(call)))))
}

fn subset_cost(size: usize) -> f64 {
    let candidate = |number: usize| Candidate {
        instance: format!("agent-{number}").into(),
        domain: format!("domain-{}", number % 7).into(),
        target: "advisor".into(),
    };
    let candidates: Vec<Candidate> = (0..size).map(candidate).collect();
    // The processes that route calls; each uses a subset of the agents.
    let entries: Vec<bytes::Bytes> = (0..size / 2)
        .map(|entry| format!("entry-{entry}").into())
        .collect();
    let subset_size = SubsetSize::for_targets(1);
    time(200, |_| {
        black_box(choose_subset(
            &entries[0],
            &entries,
            &candidates,
            subset_size,
        ));
    })
}
