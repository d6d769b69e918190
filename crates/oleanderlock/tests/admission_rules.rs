//! Unit tests of single admission rules.

use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use oleanderlock::shares::ClassGrant;
use oleanderlock::work::{AdmissionAction, Refusal, Verdict, Work};

/// Deadline that no test reaches, in milliseconds.
const FAR: u64 = 600_000;

fn grant(name: &'static str, share_percent: u32) -> ClassGrant {
    ClassGrant {
        name: name.into(),
        share_percent,
        latency_bound: Millis(1_000),
    }
}

fn admission(capacity: usize) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::for_capacity(capacity));
    admission.set_classes(&[grant("desk", 50), grant("train", 50)]);
    admission
}

fn ticket(number: u32) -> Ticket {
    Ticket {
        request: RequestId(number.into()),
        ..Ticket::default()
    }
}

fn work(admission: &Admission, number: u32, kind: WorkKind, deadline: u64) -> Work {
    let name: &[u8] = match kind {
        WorkKind::Interactive => b"desk",
        WorkKind::Samples => b"train",
    };
    Work {
        ticket: ticket(number),
        class: admission.class(name).expect("the class is granted"),
        kind,
        priority: 0,
        deadline: Millis(deadline),
        cost: 100,
    }
}

fn submit(
    admission: &mut Admission,
    now: u64,
    number: u32,
    kind: WorkKind,
    deadline: u64,
) -> Verdict {
    let work = work(admission, number, kind, deadline);
    admission.submit(Millis(now), work)
}

/// Returns an admission control with all slots in use, for an endpoint whose measured service time
/// is `service` milliseconds.
fn full(capacity: usize, service: u64) -> Admission {
    let mut admission = admission(capacity);
    for number in 1_000..1_010 {
        submit(&mut admission, 0, number, WorkKind::Samples, FAR);
        admission.finish(Millis(service), ticket(number), 100);
    }
    for number in 2_000..2_000 + capacity as u32 {
        let verdict = submit(&mut admission, service, number, WorkKind::Samples, FAR);
        assert_eq!(verdict, Verdict::Start);
    }
    admission
}

#[test]
fn duplicate_ticket_changes_nothing() {
    let mut admission = full(1, 100);
    assert_eq!(
        submit(&mut admission, 100, 2_000, WorkKind::Samples, FAR),
        Verdict::Duplicate
    );
    assert_eq!(
        submit(&mut admission, 100, 1, WorkKind::Samples, FAR),
        Verdict::Queued
    );
    assert_eq!(
        submit(&mut admission, 100, 1, WorkKind::Samples, FAR),
        Verdict::Duplicate
    );
    assert_eq!(admission.load(Millis(100)).queued, 1);
}

#[test]
fn interactive_work_leaves_the_queue_before_older_samples() {
    let mut admission = full(1, 100);
    assert_eq!(
        submit(&mut admission, 100, 1, WorkKind::Samples, FAR),
        Verdict::Queued
    );
    assert_eq!(
        submit(&mut admission, 100, 2, WorkKind::Interactive, FAR),
        Verdict::Queued
    );
    let actions = admission.finish(Millis(200), ticket(2_000), 100);
    assert_eq!(actions, [AdmissionAction::Start(ticket(2))]);
}

#[test]
fn greater_priority_leaves_the_queue_first() {
    let mut admission = full(1, 100);
    for (number, priority) in [(1, 1), (2, 7), (3, 7)] {
        let mut work = work(&admission, number, WorkKind::Samples, FAR);
        work.priority = priority;
        assert_eq!(admission.submit(Millis(100), work), Verdict::Queued);
    }
    let actions = admission.finish(Millis(200), ticket(2_000), 100);
    assert_eq!(actions, [AdmissionAction::Start(ticket(2))]);
}

#[test]
fn greater_priority_starts_first_among_classes_within_their_shares() {
    let mut admission = full(1, 100);
    admission.set_classes(&[grant("train", 50), grant("tune", 50)]);
    let tune = Work {
        class: admission.class(b"tune").expect("the class is granted"),
        ..work(&admission, 1, WorkKind::Samples, FAR)
    };
    assert_eq!(admission.submit(Millis(100), tune), Verdict::Queued);
    let urgent = Work {
        priority: 5,
        ..work(&admission, 2, WorkKind::Samples, FAR)
    };
    assert_eq!(admission.submit(Millis(100), urgent), Verdict::Queued);
    let actions = admission.finish(Millis(200), ticket(2_000), 100);
    assert_eq!(actions, [AdmissionAction::Start(ticket(2))]);
}

#[test]
fn added_slots_are_filled_at_once() {
    let mut admission = full(1, 100);
    submit(&mut admission, 100, 1, WorkKind::Interactive, FAR);
    submit(&mut admission, 100, 2, WorkKind::Interactive, FAR);
    let actions = admission.set_capacity(Millis(100), 4);
    assert_eq!(
        actions,
        [1, 2].map(|number| AdmissionAction::Start(ticket(number)))
    );
}

#[test]
fn work_that_can_not_end_in_time_is_refused_at_once() {
    let mut admission = full(1, 400);
    let verdict = submit(&mut admission, 400, 1, WorkKind::Interactive, 1_000);
    let Verdict::Refuse(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.error, ErrorKind::Overloaded);
    assert!(refusal.retry_after > Millis::ZERO);
    assert_eq!(
        submit(&mut admission, 400, 2, WorkKind::Samples, 60_000),
        Verdict::Queued
    );
}

#[test]
fn a_refusal_names_a_time_at_which_the_same_work_is_admitted() {
    let mut admission = full(1, 400);
    let Verdict::Refuse(refusal) = submit(&mut admission, 400, 1, WorkKind::Interactive, 1_000)
    else {
        panic!("it must be refused");
    };
    let back = 400 + refusal.retry_after.0;
    admission.finish(Millis(800), ticket(2_000), 100);
    let verdict = submit(
        &mut admission,
        back.max(800),
        2,
        WorkKind::Interactive,
        back + 600,
    );
    assert_eq!(verdict, Verdict::Start);
}

#[test]
fn queued_work_is_refused_after_its_deadline() {
    let mut admission = admission(1);
    submit(&mut admission, 0, 1, WorkKind::Interactive, FAR);
    assert_eq!(
        submit(&mut admission, 0, 2, WorkKind::Interactive, 500),
        Verdict::Queued
    );
    assert_eq!(admission.next_tick(Millis(0)), Some(Millis(501)));
    assert!(admission.tick(Millis(500)).is_empty());
    let actions = admission.tick(Millis(501));
    let [AdmissionAction::Refuse(refused, refusal)] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(refused, ticket(2));
    assert_eq!(refusal.error, ErrorKind::DeadlineBeforeStart);
    assert!(refusal.retry_after > Millis::ZERO);
    assert!(!admission.contains(ticket(2)));
}

#[test]
fn class_beyond_its_share_gets_share_exhausted() {
    let mut admission = full(1, 100);
    submit(&mut admission, 100, 1, WorkKind::Interactive, FAR);
    let refused = (2..100).find_map(|number| {
        match submit(&mut admission, 100, number, WorkKind::Samples, FAR) {
            Verdict::Refuse(refusal) => Some(refusal.error),
            _ => None,
        }
    });
    assert_eq!(refused, Some(ErrorKind::ShareExhausted));
}

#[test]
fn one_class_can_not_fill_the_queue_of_another() {
    let mut admission = full(2, 10);
    for number in 0..200 {
        submit(&mut admission, 10, number, WorkKind::Samples, FAR);
    }
    let limit = AdmissionConfig::for_capacity(2).sample_queue_limit;
    assert_eq!(admission.load(Millis(10)).queued as usize, limit / 2);
    assert_eq!(
        submit(&mut admission, 10, 500, WorkKind::Interactive, FAR),
        Verdict::Queued
    );
}

#[test]
fn leaving_refuses_the_queue_as_not_run_and_keeps_what_runs() {
    let mut admission = full(1, 100);
    submit(&mut admission, 100, 1, WorkKind::Samples, FAR);
    let refusal = Refusal {
        error: ErrorKind::Leaving,
        retry_after: Millis::ZERO,
    };
    assert_eq!(
        admission.leave(),
        [AdmissionAction::Refuse(ticket(1), refusal)]
    );
    let verdict = submit(&mut admission, 101, 2, WorkKind::Interactive, FAR);
    assert_eq!(verdict, Verdict::Refuse(refusal));
    assert!(admission.contains(ticket(2_000)));
    assert!(admission.finish(Millis(200), ticket(2_000), 100).is_empty());
    assert!(admission.is_idle());
}

#[test]
fn cancelled_work_leaves_queue_and_slot() {
    let mut admission = full(1, 100);
    submit(&mut admission, 100, 1, WorkKind::Samples, FAR);
    submit(&mut admission, 100, 2, WorkKind::Samples, FAR);
    assert!(admission.cancel(Millis(100), ticket(1)).is_empty());
    let actions = admission.cancel(Millis(100), ticket(2_000));
    assert_eq!(actions, [AdmissionAction::Start(ticket(2))]);
}

#[test]
fn revoked_class_admits_nothing_new_and_finishes_its_work() {
    let mut admission = full(1, 100);
    submit(&mut admission, 100, 1, WorkKind::Samples, FAR);
    let old = work(&admission, 2, WorkKind::Samples, FAR);
    admission.set_classes(&[grant("desk", 50)]);
    assert_eq!(admission.class(b"train"), None);
    let verdict = admission.submit(Millis(100), old);
    assert!(matches!(verdict, Verdict::Refuse(it) if it.error == ErrorKind::NoContract));
    let actions = admission.finish(Millis(200), ticket(2_000), 100);
    assert_eq!(actions, [AdmissionAction::Start(ticket(1))]);
}

#[test]
fn the_naive_baseline_serves_in_order_of_arrival() {
    let cfg = AdmissionConfig {
        policy: Policy::Naive,
        ..AdmissionConfig::for_capacity(1)
    };
    let mut admission = Admission::new(cfg);
    admission.set_classes(&[grant("desk", 50), grant("train", 50)]);
    submit(&mut admission, 0, 1, WorkKind::Samples, FAR);
    submit(&mut admission, 0, 2, WorkKind::Samples, FAR);
    submit(&mut admission, 0, 3, WorkKind::Interactive, FAR);
    let actions = admission.finish(Millis(100), ticket(1), 100);
    assert_eq!(actions, [AdmissionAction::Start(ticket(2))]);
}
