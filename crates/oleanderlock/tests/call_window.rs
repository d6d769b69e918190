//! Bound on concurrent calls, learned from refusals and slow responses.

use oleanderlock::prelude::*;
use oleanderlock::routing::call_window::CallWindow;

const OBJECTIVE: Millis = Millis(400);
/// Longest time of a response that shows no queue.
const FAST: Millis = Millis(200);

/// Starts calls until the bound is reached; returns their number.
fn fill(window: &mut CallWindow) -> usize {
    let mut started = 0;
    while window.start() {
        started += 1;
    }
    started
}

fn drain(window: &mut CallWindow, calls: usize) {
    (0..calls).for_each(|_| window.end());
}

#[test]
fn responses_raise_the_bound_by_one_each_round() {
    let mut window = CallWindow::default();
    for round in 0..5 {
        let started = fill(&mut window);
        assert_eq!(started, 8 + round);
        (0..=started).for_each(|_| window.record_response(Millis(1000), FAST, OBJECTIVE));
        drain(&mut window, started);
    }
}

#[test]
fn refusals_of_one_moment_halve_the_bound_once_and_one_call_is_always_allowed() {
    let mut window = CallWindow::default();
    for _ in 0..8 {
        window.record_refusal(Millis(1000));
    }
    assert_eq!(fill(&mut window), 4);
    drain(&mut window, 4);
    for second in 2..10 {
        window.record_refusal(Millis::from_secs(second));
    }
    assert_eq!(fill(&mut window), 1);
}

#[test]
fn the_bound_has_an_upper_limit() {
    let mut window = CallWindow::default();
    (0..10_000).for_each(|_| window.record_response(Millis(1000), FAST, OBJECTIVE));
    assert_eq!(fill(&mut window), 64);
}

#[test]
fn slow_responses_lower_the_bound_like_refusals() {
    let mut window = CallWindow::default();
    let slow = FAST.plus(Millis(1));
    for second in 1..3 {
        window.record_response(Millis::from_secs(second), slow, OBJECTIVE);
    }
    assert_eq!(fill(&mut window), 2);
    drain(&mut window, 2);
    (0..4).for_each(|_| window.record_response(Millis::from_secs(3), FAST, OBJECTIVE));
    assert_eq!(fill(&mut window), 3);
}
