//! Rules of the even choice: what is tried, avoided, left and returned to.

use indexmap::IndexMap;
use oleanderlock::prelude::*;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_load::EndpointLoad;
use oleanderlock::routing::endpoint_pick::pick;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::even_caller::EvenCaller;
use oleanderlock::routing::even_candidate::EvenCandidate;
use oleanderlock::routing::even_choice::even_choice;
use oleanderlock::routing::even_reason::EvenReason;
use oleanderlock::routing::even_service::EvenService;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time of a usual answer.
const USUAL: Millis = Millis(20);

fn entry(instance: &str, domain: &str) -> EndpointEntry {
    EndpointEntry {
        instance: instance.to_owned(),
        started_unix_ms: None,
        service: "desk".to_owned(),
        software: None,
        addr: "127.0.0.1:1000".parse().expect("the address is valid"),
        domain: domain.to_owned(),
        slots: 6,
        state: EndpointState::Ready,
        warm_up: Millis::ZERO,
        weights: IndexMap::new(),
    }
}

/// A process in failure domain `a` that calls endpoints one after the other.
struct Process {
    entries: Vec<EndpointEntry>,
    loads: Vec<EndpointLoad>,
    limit_delays: Vec<Millis>,
    connected: Vec<bool>,
    even: EvenService,
    caller: EvenCaller,
    now: Millis,
    rng: StdRng,
}

impl Process {
    /// Returns a process without knowledge of endpoints in these failure domains.
    fn new(domains: &[&str]) -> Self {
        let entries = domains.iter().enumerate();
        let entries = entries.map(|(index, domain)| entry(&format!("i-{index}"), domain));
        Self {
            entries: entries.collect(),
            loads: vec![EndpointLoad::default(); domains.len()],
            limit_delays: vec![Millis::ZERO; domains.len()],
            connected: vec![false; domains.len()],
            even: EvenService::default(),
            caller: EvenCaller::default(),
            now: Millis(1_000_000),
            rng: StdRng::seed_from_u64(7),
        }
    }

    fn choose(&mut self, tried: &[&str]) -> Option<(usize, EvenReason)> {
        let tried: Vec<String> = tried.iter().map(|&it| it.to_owned()).collect();
        let candidates: Vec<EvenCandidate<'_>> = (0..self.entries.len())
            .map(|index| EvenCandidate {
                candidate: Candidate {
                    entry: &self.entries[index],
                    load: self.loads[index],
                    limit_delay: self.limit_delays[index],
                },
                connected: self.connected[index],
            })
            .collect();
        let (even, draw) = (&mut self.even, self.rng.random());
        let pick = even_choice(even, self.now, "a", self.caller, &candidates, &tried, draw)?;
        let index = self.entries.iter().position(|it| it == pick.entry);
        Some((index.expect("a candidate"), pick.reason))
    }

    /// Makes calls, each answered after `took` of its endpoint, and counts them by endpoint.
    fn call(&mut self, calls: usize, took: impl Fn(usize) -> Millis) -> Vec<usize> {
        let mut counts = vec![0; self.entries.len()];
        for _ in 0..calls {
            let (index, _) = self.choose(&[]).expect("an endpoint");
            counts[index] += 1;
            let instance = self.entries[index].instance.clone();
            let start = self.now;
            self.even.update(&instance, |it| it.record_start(start));
            self.now = self.now.plus(took(index));
            let now = self.now;
            self.even.update(&instance, |it| it.record_end(0, now));
            self.even
                .update(&instance, |it| it.record_answer(took(index), now));
            self.loads[index].record_answer(took(index));
        }
        counts
    }
}

/// Guards against an endpoint that idles for ever because another answers in under the time that is
/// assumed for it. The choice without even load has that fault.
#[test]
fn an_endpoint_that_has_not_been_called_is_tried() {
    let mut process = Process::new(&["a", "a", "a"]);
    let fast = |index| if index == 0 { Millis(10) } else { USUAL };
    let counts = process.call(60, fast);
    assert!(counts.iter().all(|count| *count >= 10), "{counts:?}");
    let mut loads = [EndpointLoad::default(); 2];
    loads[0].record_answer(Millis(10));
    let entries = [entry("i-0", "a"), entry("i-1", "a")];
    let candidates = entries.iter().zip(loads).map(|(entry, load)| Candidate {
        entry,
        load,
        limit_delay: Millis::ZERO,
    });
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    let before = (0..100).filter_map(|draw| pick(Millis(1), "a", &candidates, &[], draw));
    assert!(before.into_iter().all(|entry| entry.instance == "i-0"));
}

/// Guards against a failure domain whose endpoints nobody calls, so that nothing is known of them.
#[test]
fn endpoints_of_another_domain_are_tried_once() {
    let mut process = Process::new(&["a", "a", "b", "b"]);
    let counts = process.call(1000, |_| USUAL);
    assert_eq!((counts[2], counts[3]), (1, 1), "{counts:?}");
}

/// Guards against calls that leave their failure domain for nothing, and against calls that wait in
/// it.
#[test]
fn calls_leave_their_domain_only_while_it_costs_more() {
    let mut process = Process::new(&["a", "a", "b", "b"]);
    process.call(500, |_| USUAL);
    let slow = |index| if index < 2 { Millis(160) } else { USUAL };
    let counts = process.call(100, slow);
    assert!(counts[2] + counts[3] > 80, "{counts:?}");
    process.now = process.now.plus(Millis(60_000));
    process.call(200, |_| USUAL);
    let counts = process.call(100, |_| USUAL);
    assert_eq!(counts[2] + counts[3], 0, "{counts:?}");
}

/// Guards against an endpoint that gets calls beyond its speed, or too few.
#[test]
fn calls_follow_the_speed_of_endpoints() {
    let mut process = Process::new(&["a", "a"]);
    let took = |index| if index == 0 { Millis(10) } else { Millis(30) };
    process.call(200, took);
    let counts = process.call(400, took);
    assert!((280..=320).contains(&counts[0]), "{counts:?}");
}

/// Guards against a transient slowdown that is taken for a slow endpoint, or not noticed.
#[test]
fn a_slowed_endpoint_is_left_and_returned_to() {
    let mut process = Process::new(&["a", "a", "a", "a"]);
    process.call(400, |_| USUAL);
    let slow = |index| if index == 0 { Millis(160) } else { USUAL };
    let counts = process.call(100, slow);
    assert!(counts[0] <= 3, "{counts:?}");
    process.call(2000, |_| USUAL);
    let counts = process.call(400, |_| USUAL);
    assert!((90..=110).contains(&counts[0]), "{counts:?}");
}

/// Guards against calls that are sent to an endpoint that hangs, while the first ones wait there.
#[test]
fn an_endpoint_that_does_not_answer_is_left() {
    let mut process = Process::new(&["a", "a", "a"]);
    process.call(300, |_| USUAL);
    let start = process.now;
    process.even.update("i-0", |it| it.record_start(start));
    process.loads[0].in_flight = 1;
    process.now = process.now.plus(Millis(200));
    let counts = process.call(100, |_| USUAL);
    assert!(counts[0] <= 1, "{counts:?}");
}

/// Guards against an endpoint that loses races with hedges and is chosen on, since it never answers.
#[test]
fn an_abandoned_call_counts_as_a_slow_answer() {
    let mut process = Process::new(&["a", "a"]);
    process.call(200, |_| USUAL);
    let now = process.now;
    process
        .even
        .update("i-0", |it| it.record_abandoned(Millis(150), now));
    let counts = process.call(20, |_| USUAL);
    assert!(counts[0] <= 2, "{counts:?}");
}

/// Guards against an endpoint that fails a part of its calls and gets its whole share.
#[test]
fn an_endpoint_that_fails_in_part_gets_fewer_calls() {
    let mut process = Process::new(&["a", "a", "a", "a"]);
    process.call(400, |_| USUAL);
    for _ in 0..4 {
        process.even.update("i-0", |it| it.record_failure());
    }
    let counts = process.call(10, |_| USUAL);
    assert!(counts[0] <= 1, "{counts:?}");
}

/// Guards against rules of the choice without even load that the even one loses: avoided and limited
/// endpoints come last, those that were tried not at all.
#[test]
fn avoided_limited_and_tried_endpoints_are_passed_over() {
    let mut process = Process::new(&["a", "a", "b"]);
    let until = process.now.plus(Millis(60_000));
    process.loads[0].avoid_until = until;
    process.limit_delays[1] = Millis(500);
    for _ in 0..50 {
        assert_eq!(process.choose(&[]), Some((2, EvenReason::OwnDomainOut)));
    }
    assert_eq!(process.choose(&["i-2"]), Some((1, EvenReason::AllAvoided)));
    assert_eq!(process.choose(&["i-1", "i-2"]).map(|it| it.0), Some(0));
    assert_eq!(process.choose(&["i-0", "i-1", "i-2"]), None);
}

/// Guards against a preference for open connections that costs evenness.
#[test]
fn an_open_connection_changes_the_order_and_not_the_shares() {
    let mut process = Process::new(&["a"; 4]);
    process.connected[0] = true;
    process.call(40, |_| USUAL);
    let counts = process.call(400, |_| USUAL);
    assert!(
        counts.iter().all(|count| (97..=103).contains(count)),
        "{counts:?}"
    );
}

/// Guards against subsets that leave an endpoint to few processes, or to none.
#[test]
fn subsets_cover_all_endpoints_evenly() {
    let mut used = vec![0; 12];
    for index in 0..41 {
        let mut process = Process::new(&["a"; 12]);
        process.caller = EvenCaller { callers: 41, index };
        // Few calls, so that the subset stays small.
        for _ in 0..30 {
            process.now = process.now.plus(Millis(3000));
            let counts = process.call(1, |_| USUAL);
            for (used, count) in used.iter_mut().zip(counts) {
                *used += count;
            }
        }
    }
    let (least, most) = (used.iter().min(), used.iter().max());
    let (least, most) = (least.expect("a count"), most.expect("a count"));
    assert!(most * 10 <= least * 13, "{used:?}");
}
