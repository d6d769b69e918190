//! Bounds on bytes that wait and on slow readers.

use arbtest::arbtest;
use oleanderlock::prelude::*;
use oleanderlock::pressure::byte_room::ByteRoom;
use oleanderlock::pressure::reader_pace::{CREDIT_MAX, ReaderPace};
use oleanderlock::pressure::response_sizes::ResponseSizes;
use oleanderlock::pressure::room_limits::RoomLimits;
use std::sync::Arc;

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;
const LIMITS: RoomLimits = RoomLimits {
    total: 16 * MB,
    reserve: 4 * MB,
    small: 16 * KB,
};

fn name(number: usize) -> Arc<str> {
    format!("workspace-{number}").into()
}

/// Guards against a room that lets more in than its bound, or loses what is given back.
#[test]
fn a_room_never_holds_more_than_its_limits_and_is_empty_at_the_end() {
    arbtest(|u| {
        let mut room = ByteRoom::new(LIMITS);
        let mut held: Vec<(Option<Arc<str>>, usize)> = Vec::new();
        let shared = u.arbitrary()?;
        for _ in 0..u.int_in_range(0..=200)? {
            if u.ratio(2, 3)? {
                let number = u.int_in_range(0..=5)?;
                let workspace = (number > 0).then(|| name(number));
                let bytes = u.int_in_range(1..=20 * MB)?;
                let alone = room.used() == 0;
                if room.take(workspace.as_ref(), shared, 0, bytes) {
                    held.push((workspace, bytes));
                    assert!(alone || room.used() <= LIMITS.total + LIMITS.reserve);
                } else {
                    assert!(!alone, "an empty room takes anything");
                }
            } else if !held.is_empty() {
                let index = u.choose_index(held.len())?;
                let (workspace, bytes) = held.swap_remove(index);
                room.give_back(workspace.as_ref(), bytes);
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(room.used(), sum);
        }
        for (workspace, bytes) in held {
            room.give_back(workspace.as_ref(), bytes);
        }
        assert_eq!(room.used(), 0);
        Ok(())
    })
    .budget_ms(1000);
}

/// Guards against large pieces that shut small ones out.
#[test]
fn small_pieces_pass_while_large_ones_fill_the_room() {
    let mut room = ByteRoom::new(LIMITS);
    while room.take(None, false, 0, MB) {}
    assert_eq!(room.used(), LIMITS.total);
    let small = (0..).take_while(|_| room.take(None, false, 0, 16 * KB));
    assert_eq!(small.count(), LIMITS.reserve / (16 * KB));
}

/// Guards against a workspace that fills the room: of 76, three take all they can get first.
#[test]
fn large_workspaces_leave_room_for_all_others() {
    let mut room = ByteRoom::new(LIMITS);
    loop {
        let taken = (0..3).filter(|n| room.take(Some(&name(*n)), true, 0, 64 * KB));
        if taken.count() == 0 {
            break;
        }
    }
    for n in 0..3 {
        let held = room.held_by(Some(&name(n)));
        assert!(held > LIMITS.total / 4, "workspace {n} uses {held} bytes");
    }
    for n in 3..76 {
        let fits = room.take(Some(&name(n)), true, 0, 16 * KB);
        assert!(fits, "workspace {n} finds no room");
    }
    // Without shares, the three leave nothing.
    let mut room = ByteRoom::new(LIMITS);
    while room.take(Some(&name(0)), false, 0, 64 * KB) {}
    assert!(!room.take(Some(&name(3)), false, 0, 64 * KB));
}

/// Guards against a share that stays lent: what one workspace gives back is free for the others.
#[test]
fn a_lent_share_is_returned_as_its_pieces_end() {
    let mut room = ByteRoom::new(LIMITS);
    while room.take(Some(&name(0)), true, 0, 256 * KB) {}
    assert!(room.held_by(Some(&name(0))) > LIMITS.total / 2);
    // Each of its pieces that ends makes room; it takes a new one whenever it may.
    for _ in 0..64 {
        room.give_back(Some(&name(0)), 256 * KB);
        room.take(Some(&name(1)), true, 0, 256 * KB);
        room.take(Some(&name(0)), true, 0, 256 * KB);
    }
    let (first, second) = (room.held_by(Some(&name(0))), room.held_by(Some(&name(1))));
    assert!(first.abs_diff(second) <= MB, "{first} and {second} bytes");
}

/// Guards against readers that take nothing, or hardly anything, and hold memory.
#[test]
fn a_reader_that_takes_too_little_runs_out_of_credit() {
    let mut idle = ReaderPace::default();
    assert_eq!(idle.block(Millis(100)), Millis(100).plus(CREDIT_MAX));
    assert_eq!(idle.block(Millis(2000)), Millis(100).plus(CREDIT_MAX));

    let ends_at = |bytes_per_second: usize| {
        let mut pace = ReaderPace::default();
        (0..600).map(|second| Millis(second * 1000)).find(|now| {
            let until = pace.block(*now);
            let next = now.plus(Millis(1000));
            pace.take(next, bytes_per_second);
            until <= next
        })
    };
    assert!(ends_at(64).is_some_and(|end| end <= Millis(6000)));
    assert_eq!(ends_at(17 * KB), None);
}

/// Guards against streams that are abandoned because their engine, not their reader, is slow.
#[test]
fn a_reader_for_whom_nothing_waits_keeps_its_credit() {
    let mut pace = ReaderPace::default();
    for minute in 0..10 {
        pace.take(Millis(minute * 60_000), 10);
    }
    let now = Millis(600_000);
    assert_eq!(pace.block(now), now.plus(CREDIT_MAX));
}

/// Guards against calls that run although their large response finds no room, and against one large
/// response after which small ones are refused for long.
#[test]
fn expected_sizes_rise_at_once_and_fall_slowly() {
    let mut sizes = ResponseSizes::default();
    assert_eq!(sizes.expected(1), None);
    sizes.record(1, 100);
    sizes.record(1, MB);
    assert_eq!(sizes.expected(1), Some(MB));
    for _ in 0..40 {
        sizes.record(1, 100);
    }
    assert!(sizes.expected(1).is_some_and(|bytes| bytes < 200));
    for kind in 2..5000 {
        sizes.record(kind, 100);
    }
    assert_eq!(sizes.expected(1), None, "the oldest kind is removed");
}
