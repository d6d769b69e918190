//! Bound on concurrent calls, learned from refusals.

use oleanderlock::prelude::*;
use oleanderlock::routing::call_window::CallWindow;

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
        (0..=started).for_each(|_| window.record_response());
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
    (0..10_000).for_each(|_| window.record_response());
    assert_eq!(fill(&mut window), 64);
}
