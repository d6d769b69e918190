//! Stalled streams: bytes alone are no progress, and slow events are.

use oleanderlock::prelude::*;
use oleanderlock::routing::stall_clock::StallClock;

const LIMIT: Millis = Millis(4000);

#[test]
fn slow_events_keep_a_stream_alive_wherever_they_are_cut() {
    let event = b"id: 1\r\ndata: x\n\n";
    for cut in 0..event.len() {
        let mut clock = StallClock::new(Millis(0), LIMIT);
        for n in 1..10 {
            let now = Millis(n * 3999);
            assert_eq!(clock.left(now), Millis(1), "cut at {cut}");
            clock.push(now, &event[..cut]);
            clock.push(now, &event[cut..]);
            assert_eq!(clock.left(now), LIMIT, "cut at {cut}");
        }
    }
}

#[test]
fn comments_blank_lines_and_incomplete_events_are_no_progress() {
    for drip in [
        &b":\n"[..],
        b": ping\n\n",
        b"\n",
        b"\r\n\r\n",
        b"d",
        b"data: x\n",
    ] {
        let mut clock = StallClock::new(Millis(0), LIMIT);
        for n in 1..=8 {
            clock.push(Millis(n * 500), drip);
        }
        assert_eq!(clock.left(Millis(4000)), Millis::ZERO, "{drip:?}");
    }
}

#[test]
fn a_comment_within_an_event_does_not_hide_it() {
    let mut clock = StallClock::new(Millis(0), LIMIT);
    clock.push(Millis(1000), b"data: x\n: comment\n\n");
    assert_eq!(clock.left(Millis(1000)), LIMIT);
}
