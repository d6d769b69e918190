//! Compares admission, its queue and its shares with simple reference implementations, on fixed
//! seeds.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::admission_queue::{AdmissionQueue, QueuedWork};
use oleanderlock::prelude::*;
use oleanderlock::shares::{ClassGrant, ClassKey, Shares};
use oleanderlock::work::{AdmissionAction, Verdict, Work};
use std::cmp::Reverse;

/// Number of random cases for each test.
const CASES: u64 = 300;
/// Bytes of random input for each case, in the low half of its seed.
const ENTROPY: u64 = 4096;
const NAMES: [&str; 3] = ["a", "b", "c"];
/// Shares of the classes, in percent.
const SHARES: [u32; 3] = [20, 30, 50];

fn cases(property: impl Fn(&mut Unstructured) -> Result<()>) {
    for case in 1..=CASES {
        let seed = (case.wrapping_mul(0x9e37_79b9) << 32) | ENTROPY;
        arbtest(&property).seed(seed).run();
    }
}

fn grants() -> Vec<ClassGrant> {
    let pairs = NAMES.into_iter().zip(SHARES);
    let grant = |(name, share_percent): (&'static str, u32)| ClassGrant {
        name: name.into(),
        share_percent,
        latency_bound: Millis(5_000),
    };
    pairs.map(grant).collect()
}

fn classes() -> Vec<ClassKey> {
    let mut shares = Shares::default();
    shares.set(&grants());
    NAMES
        .iter()
        .filter_map(|name| shares.key(name.as_bytes()))
        .collect()
}

fn work(u: &mut Unstructured, number: u128, now: u64) -> Result<Work> {
    let class = *u.choose(&classes())?;
    let is_interactive = class == classes()[0];
    Ok(Work {
        ticket: Ticket {
            request: RequestId(number),
            ..Ticket::default()
        },
        class,
        kind: if is_interactive {
            WorkKind::Interactive
        } else {
            WorkKind::Samples
        },
        priority: u.int_in_range(0..=2)?,
        deadline: Millis(now + u.int_in_range(0..=3_000)?),
        cost: u.int_in_range(1..=200)?,
    })
}

#[test]
fn queue_matches_a_list() {
    cases(|u| {
        let mut queue = AdmissionQueue::default();
        let mut list: Vec<QueuedWork> = Vec::new();
        for number in 0..60 {
            if u.ratio(2, 3)? || list.is_empty() {
                let work = work(u, number, 0)?;
                let queued = QueuedWork {
                    work,
                    service: Millis(work.cost),
                    latest_start: work.deadline,
                };
                queue.push(queued);
                list.push(queued);
            } else {
                let removed = list.remove(u.choose_index(list.len())?);
                assert_eq!(queue.remove(removed.work.ticket), Some(removed));
            }
            assert_matches(&queue, &list);
        }
        Ok(())
    });
}

fn assert_matches(queue: &AdmissionQueue, list: &[QueuedWork]) {
    assert_eq!(queue.len(), list.len());
    assert_eq!(
        queue.service_ms(),
        list.iter().map(|it| it.service.0).sum::<u64>()
    );
    assert_eq!(queue.oldest(), list.first());
    assert_eq!(
        queue.next_expiry(),
        list.iter().map(|it| it.latest_start).min()
    );
    for class in classes() {
        let of_class = || list.iter().filter(|it| it.work.class == class);
        let first = of_class().min_by_key(|it| Reverse(it.work.priority));
        assert_eq!(queue.head(class), first);
        for priority in 0..3 {
            let ahead = of_class().filter(|it| it.work.priority >= priority);
            let sum: u64 = ahead.map(|it| it.service.0).sum();
            assert_eq!(queue.service_ms_ahead(class, priority), sum);
        }
    }
}

/// Compares with an ideal fluid server, which serves all backlogged classes at the same time in
/// proportion to their shares.
#[test]
fn shares_stay_close_to_a_fluid_server() {
    cases(|u| {
        let mut shares = Shares::default();
        shares.set(&grants());
        let keys = classes();
        let backlogged: Vec<usize> = match u.int_in_range(0..=3)? {
            3 => vec![0, 1, 2],
            absent => (0..3).filter(|index| *index != absent).collect(),
        };
        let weight: u32 = backlogged.iter().map(|index| SHARES[*index]).sum();
        backlogged
            .iter()
            .for_each(|index| shares.enqueue(keys[*index], 0));
        let mut served = [0u64; 3];
        let mut longest = 0;
        for _ in 0..200 {
            let eligible = backlogged
                .iter()
                .filter(|index| shares.is_eligible(keys[**index], 0));
            let next = *eligible
                .min_by_key(|index| shares.virtual_start(keys[**index]))
                .expect("a class is eligible");
            let cost = u.int_in_range(1..=200)?;
            longest = longest.max(cost);
            shares.enqueue(keys[next], 0);
            shares.start_queued(keys[next], cost);
            served[next] += cost;
            let total: u64 = served.iter().sum();
            for index in &backlogged {
                let ideal = total * u64::from(SHARES[*index]) / u64::from(weight);
                assert!(
                    served[*index].abs_diff(ideal) <= 2 * longest,
                    "{served:?} of {total}"
                );
            }
        }
        Ok(())
    });
}

/// Reference state: the work that must be queued or running, in order of arrival.
#[derive(Default)]
struct Reference {
    queued: Vec<Work>,
    running: Vec<Work>,
}

impl Reference {
    /// Applies an action, and checks that a started ticket was the next of its class.
    fn apply(&mut self, action: &AdmissionAction) {
        match *action {
            AdmissionAction::Start(ticket) => {
                let work = self.remove_queued(ticket);
                let before = self.queued.iter().find(|it| it.class == work.class);
                assert!(before.is_none_or(|it| it.priority <= work.priority));
                let same = |it: &&Work| it.class == work.class && it.priority == work.priority;
                let mut equals = self.queued.iter().filter(same);
                assert!(equals.all(|it| it.ticket.request > ticket.request));
                self.running.push(work);
            }
            AdmissionAction::Refuse(ticket, _) => {
                self.remove_queued(ticket);
            }
        }
    }

    fn remove_queued(&mut self, ticket: Ticket) -> Work {
        let index = self
            .queued
            .iter()
            .position(|it| it.ticket == ticket)
            .expect("the ticket is queued");
        self.queued.remove(index)
    }
}

#[test]
fn each_ticket_gets_one_decision_and_free_slots_are_used() {
    const CAPACITY: usize = 4;
    cases(|u| {
        let mut admission = Admission::new(AdmissionConfig::for_capacity(CAPACITY));
        admission.set_classes(&grants());
        let mut reference = Reference::default();
        let mut now = 0;
        for number in 0..120 {
            now += u.int_in_range(0..=40)?;
            let actions = match u.int_in_range(0..=5)? {
                0..=2 => {
                    let work = work(u, number, now)?;
                    match admission.submit(Millis(now), work) {
                        Verdict::Start => reference.running.push(work),
                        Verdict::Queued => reference.queued.push(work),
                        Verdict::Refuse(_) => assert!(!admission.contains(work.ticket)),
                        Verdict::Duplicate => panic!("tickets differ"),
                    }
                    Vec::new()
                }
                3 if !reference.queued.is_empty() => {
                    let index = u.choose_index(reference.queued.len())?;
                    admission.cancel(Millis(now), reference.queued.remove(index).ticket)
                }
                4 | 5 if !reference.running.is_empty() => {
                    let ended = reference
                        .running
                        .remove(u.choose_index(reference.running.len())?);
                    admission.finish(Millis(now), ended.ticket, ended.cost)
                }
                _ => admission.tick(Millis(now)),
            };
            actions.iter().for_each(|action| reference.apply(action));
            check(&admission, &reference, Millis(now), CAPACITY);
        }
        let left = admission.leave();
        left.iter().for_each(|action| reference.apply(action));
        assert!(reference.queued.is_empty());
        Ok(())
    });
}

fn check(admission: &Admission, reference: &Reference, now: Millis, capacity: usize) {
    let load = admission.load(now);
    assert_eq!(load.running as usize, reference.running.len());
    assert_eq!(load.queued as usize, reference.queued.len());
    assert!(reference.running.len() <= capacity);
    let is_interactive = |it: &Work| it.kind == WorkKind::Interactive;
    let has_interactive = reference.queued.iter().any(is_interactive);
    assert!(!has_interactive || reference.running.len() == capacity);
    let reserve = AdmissionConfig::for_capacity(capacity).interactive_reserve;
    let is_idle = reference.running.len() < capacity - reserve;
    assert!(
        !is_idle || reference.queued.is_empty(),
        "{} running",
        reference.running.len()
    );
}
