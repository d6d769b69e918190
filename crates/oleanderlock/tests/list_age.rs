//! Age of a copy of the endpoint list, replayed for a leader that loses the platform's list at any moment
//! and goes on answering.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use oleanderlock::prelude::*;
use oleanderlock::routing::list_age::ListAgeLimits;

/// Longest time between a confirmation at the leader and its arrival at a process, beyond the waits.
const LATENCY: Millis = Millis(40);

/// Replays calls for updates to a leader that loses the list at `lost_at`; returns how long after that a
/// process that looks at the age of its copy reads the list itself, and whether it did so needlessly
/// before.
fn replay(limits: ListAgeLimits, lost_at: Millis, phase: Millis) -> (Millis, bool) {
    // Starts of the leader's watches, the last of which ends in time.
    let confirmed_by = |now: Millis| {
        let wait = limits.watch_wait().plus(LATENCY).0;
        let ended = now.min(lost_at).0 / wait;
        Millis(ended.saturating_sub(1) * wait)
    };
    let mut copy = Millis::ZERO;
    let mut next_update = phase;
    let mut now = Millis::ZERO;
    let mut needless = false;
    loop {
        if now >= next_update {
            copy = copy.max(confirmed_by(now));
            next_update = now.plus(limits.update_wait()).plus(LATENCY);
        }
        if now.since(copy) >= limits.max_age() {
            if now >= lost_at {
                return (now.since(lost_at), needless);
            }
            needless = true;
        }
        now = now.plus(Millis(10));
    }
}

#[test]
fn a_copy_is_given_up_in_time_and_never_while_the_leader_is_well() {
    let property = |u: &mut Unstructured| {
        let leave_within = Millis(u.int_in_range(2000..=10_000)?);
        let limits = ListAgeLimits::new(leave_within);
        let lost_at = Millis(u.int_in_range(20_000..=30_000)?);
        let phase = Millis(u.int_in_range(0..=1000)?);
        let (read_after, needless) = replay(limits, lost_at, phase);
        assert!(!needless, "{leave_within}: the leader was well");
        assert!(read_after < leave_within, "{leave_within}: {read_after}");
        Ok(())
    };
    for seed in 0..300 {
        arbtest(property).seed(seed << 32 | 64).run();
    }
}

#[test]
fn an_entry_that_has_disappeared_is_kept_no_longer_than_allowed() {
    for leave_within in [500, 2000, 3000, 4000, 10_000].map(Millis) {
        let limits = ListAgeLimits::new(leave_within);
        for tenths in 0..=12 {
            let age = Millis(leave_within.0 * tenths / 10);
            let total = age.plus(limits.keep_missing(age));
            assert!(total < leave_within.max(age.plus(Millis(1))), "{total}");
        }
        assert!(limits.keep_missing(limits.max_age()) > Millis::ZERO);
    }
}

#[test]
fn a_copy_that_replaces_a_newer_one_is_given_up_in_time_and_one_of_a_leader_that_is_well_is_taken()
{
    for leave_within in [500, 2000, 3000, 4000, 10_000].map(Millis) {
        let limits = ListAgeLimits::new(leave_within);
        assert!(limits.take_age() < limits.max_age());
        assert!(limits.max_age() < leave_within);
        let oldest_at_leader = Millis(2 * limits.watch_wait().0);
        assert!(oldest_at_leader < limits.take_age());
    }
}
