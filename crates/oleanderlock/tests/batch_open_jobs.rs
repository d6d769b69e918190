//! Which jobs an agent may go on with while it hears no leader.

use oleanderlock::batch::open_jobs::OpenJobs;
use oleanderlock::prelude::*;

/// Time after the acknowledgement of an end within which no item reaches an endpoint any more.
const END_WITHIN: Millis = Millis(3000);
/// Longest time between the decision to send a request and its arrival.
const ON_THE_WAY: Millis = Millis(400);

fn told(at: u64) -> OpenJobs {
    let mut jobs = OpenJobs::new(END_WITHIN);
    jobs.record_leader(Millis(at), Millis(at), Some(Millis(at)));
    jobs
}

/// Returns the latest time at which a job counts as open.
fn open_until(jobs: &OpenJobs, job: &str) -> Millis {
    let times = (0..20_000).map(Millis);
    let mut open = times.rev().filter(|now| jobs.is_open(*now, job));
    open.next().expect("open at some time")
}

#[test]
fn nothing_is_known_to_be_open_at_first() {
    let jobs = OpenJobs::new(END_WITHIN);
    assert!(!jobs.is_open(Millis(5), "a"));
    assert!(jobs.must_read(Millis(5), "a"));
}

#[test]
fn nothing_is_sent_too_late_for_an_end_right_after_the_leader_was_last_heard() {
    let jobs = told(1000);
    let last_arrival = open_until(&jobs, "a").plus(ON_THE_WAY);
    assert!(last_arrival <= Millis(1000).plus(END_WITHIN));
}

#[test]
fn a_job_is_read_early_enough_that_an_open_one_never_waits() {
    let mut jobs = told(1000);
    let mut now = Millis(1000);
    while now < Millis(30_000) {
        assert!(jobs.is_open(now, "a"), "at {now}");
        if jobs.must_read(now, "a") {
            // A slow store takes 0.3 s.
            let answered_at = now.plus(Millis(300));
            assert!(jobs.is_open(answered_at, "a"), "at {answered_at}");
            jobs.record_open("a", now);
            now = answered_at;
        }
        now = now.plus(Millis(100));
    }
}

#[test]
fn nothing_is_read_while_a_leader_confirms_the_ends() {
    // The leader answers each report after this, and reads the marks at its interval.
    let (wait, on_the_way) = (Millis(900), Millis(20));
    let list_interval = OpenJobs::list_interval(END_WITHIN);
    let mut jobs = told(0);
    let mut sent_at = Millis(0);
    while sent_at < Millis(60_000) {
        let answered_at = sent_at.plus(on_the_way).plus(wait);
        let last_list = Millis(answered_at.0 / list_interval.0 * list_interval.0);
        let received_at = answered_at.plus(on_the_way);
        for now in (sent_at.0..received_at.0).map(Millis) {
            assert!(!jobs.must_read(now, "a"), "at {now}");
        }
        assert!(jobs.leader_silence(received_at) < Millis(1000));
        jobs.record_leader(received_at, sent_at, Some(last_list));
        sent_at = received_at;
    }
}

#[test]
fn one_job_is_not_confirmed_by_a_read_of_another() {
    let mut jobs = told(0);
    jobs.record_open("a", Millis(5000));
    assert!(jobs.is_open(Millis(5000), "a"));
    assert!(!jobs.is_open(Millis(5000), "b"));
    jobs.retain(|job| job == "b");
    assert!(!jobs.is_open(Millis(5000), "a"), "its items are gone");
}

#[test]
fn a_leader_without_the_store_is_trusted_only_while_this_process_can_not_ask_either() {
    let mut jobs = told(1000);
    jobs.record_leader(Millis(9100), Millis(9000), Some(Millis(1000)));
    jobs.record_leader(Millis(9500), Millis(9400), None);
    assert!(!jobs.is_open(Millis(9600), "a"));
    jobs.record_failed(Millis(9600));
    assert!(jobs.is_open(Millis(9700), "a"));
}

#[test]
fn a_job_goes_on_while_neither_a_leader_nor_the_store_answers() {
    let mut jobs = told(0);
    for now in (0..20_000).step_by(100).map(Millis) {
        assert!(jobs.is_open(now, "a"), "at {now}");
        if jobs.must_read(now, "a") {
            // The read takes 0.4 s.
            assert!(jobs.is_open(now.plus(Millis(400)), "a"), "at {now}");
            jobs.record_failed(now);
        }
    }
    assert!(jobs.store_is_silent(Millis(20_000)));
    // It answers again: only what it says counts from then on.
    jobs.record_open("b", Millis(20_000));
    assert!(!jobs.is_open(Millis(20_100), "a"));
    assert!(jobs.must_read(Millis(20_100), "a"));
    assert!(!jobs.store_is_silent(Millis(20_100)));
}

#[test]
fn a_confirmation_counts_from_the_call_at_the_latest() {
    // The response to another call may have been lost, and with it the end of a job after this call.
    let mut jobs = OpenJobs::new(END_WITHIN);
    jobs.record_leader(Millis(1900), Millis(1000), Some(Millis(1900)));
    assert_eq!(open_until(&jobs, "a"), open_until(&told(1000), "a"));
}
