//! Prints what the slots of a step cost at their owner, for docs/CAPACITY.md.
//!
//! Memory is the growth of the resident set over many equal steps that are all kept, so that the
//! allocator can't reuse anything. Time covers a whole step, from opening to the last pull.

use bytes::Bytes;
use oleanderlock::attribution::Attribution;
use oleanderlock::prelude::*;
use oleanderlock::pull::{Pull, PullId};
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::segment::Segment;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_action::StepAction;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_limits::StepLimits;
use oleanderlock::step_shape::StepShape;
use oleanderlock::whole_answer::WholeAnswer;
use std::time::Instant;

const GROUP: u32 = 8;
const SIZES: [u32; 5] = [128, 256, 512, 1024, 2048];
const SLOTS_IN_ALL: u32 = 1 << 18;
const TEXT_BYTES: [usize; 4] = [0, 256, 1024, 4096];
const TOKENS: u64 = 200;

fn main() {
    println!("slots,steps,bytes_per_slot_in_flight");
    let mut kept = Vec::new();
    for slots in SIZES {
        let steps = SLOTS_IN_ALL / slots;
        let before = resident_bytes();
        kept.extend((0..steps).map(|_| open(slots).0));
        let per_slot = (resident_bytes() - before) as f64 / f64::from(SLOTS_IN_ALL);
        println!("{slots},{steps},{per_slot:.0}");
    }
    println!("text_bytes,results,bytes_per_settled_slot");
    for text in TEXT_BYTES {
        let before = resident_bytes();
        let results = SLOTS_IN_ALL / 4;
        kept.extend((0..results / 512).map(|_| settled(512, text)));
        let per_result = (resident_bytes() - before) as f64 / f64::from(results);
        println!("{text},{results},{per_result:.0}");
    }
    drop(kept);
    // Lets the allocator settle after the memory above is freed.
    whole_step_us(SIZES[0]);
    println!("slots,us_per_step,us_per_slot");
    for slots in SIZES {
        let us = whole_step_us(slots);
        println!("{slots},{us:.0},{:.2}", us / f64::from(slots));
    }
}

fn open(slots: u32) -> (Step, Vec<StepAction>) {
    let shape = StepShape::new((0..slots / GROUP).map(|_| GROUP));
    let config = StepConfig {
        tag: shape.tag("trainer", 1),
        shape,
        staleness: Staleness::within(4),
        limits: StepLimits {
            in_flight: slots,
            payload_bytes: u64::MAX,
            ..StepLimits::default()
        },
        guards: SampleGuards::ALL,
    };
    let mut actions = Vec::new();
    let step = Step::open(Millis::ZERO, config, Version(1), &mut actions);
    (step.expect("the step fits its limits"), actions)
}

fn sample(text: usize) -> WholeAnswer {
    let mut attribution = Attribution::new();
    let segment = Segment::known(Version(1), 0, TOKENS);
    attribution
        .append(segment)
        .expect("the segment starts at 0");
    WholeAnswer {
        data: Bytes::from(vec![b'x'; text]),
        tokens: TOKENS,
        attribution,
    }
}

fn settled(slots: u32, text: usize) -> Step {
    let (mut step, actions) = open(slots);
    let mut out = Vec::new();
    for action in actions {
        if let StepAction::Generate { slot, attempt, .. } = action {
            step.settle(Millis::ZERO, slot, attempt, sample(text), &mut out);
        }
    }
    step
}

/// Runs a step whose trainer pulls again after each answer; each answer carries one sample.
fn whole_step_us(slots: u32) -> f64 {
    let (mut step, actions) = open(slots);
    let started = Instant::now();
    let mut out = Vec::new();
    pull(&mut step, String::new(), &mut out);
    for action in actions {
        let StepAction::Generate { slot, attempt, .. } = action else {
            continue;
        };
        step.settle(Millis::ZERO, slot, attempt, sample(256), &mut out);
        let cursor = out.drain(..).find_map(|action| match action {
            StepAction::Deliver { answer, .. } => Some(answer.cursor),
            _ => None,
        });
        pull(
            &mut step,
            cursor.expect("a settled slot is delivered"),
            &mut out,
        );
    }
    assert_eq!(step.remaining(), 0);
    started.elapsed().as_secs_f64() * 1e6
}

fn pull(step: &mut Step, cursor: String, out: &mut Vec<StepAction>) {
    let pull = Pull {
        id: PullId(0),
        cursor,
        version: Version(1),
        until: Millis::from_secs(30),
    };
    step.pull(Millis::ZERO, pull, out);
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
