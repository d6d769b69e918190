//! Items that wait for the token memory of an engine.

use oleanderlock::prelude::*;
use oleanderlock::pressure::token_room::{PASS_TIME_MAX, TokenRoom, tokens_needed};

const TOTAL: u64 = 10_000;

/// An item of the replay.
struct Item {
    need: u64,
    length: Millis,
    passed_since: Option<Millis>,
    started: Option<Millis>,
}

fn item(need: u64, length: u64) -> Item {
    Item {
        need,
        length: Millis(length),
        passed_since: None,
        started: None,
    }
}

/// Starts items in their order every 100 ms, as their agent would, for two minutes, and checks that
/// what runs fits.
fn replay(items: &mut [Item]) {
    for tick in 0..1200 {
        let now = Millis(tick * 100);
        let runs = |item: &&Item| {
            let started = item.started;
            started.is_some_and(|started| now < started.plus(item.length))
        };
        let used = items.iter().filter(runs).map(|item| item.need).sum();
        assert!(used <= TOTAL, "{used} tokens are used");
        let mut room = TokenRoom::new(TOTAL, used);
        for item in items.iter_mut().filter(|item| item.started.is_none()) {
            if room.start(now, item.need, &mut item.passed_since) {
                item.started = Some(now);
            }
        }
    }
}

/// Guards against a long item that never starts because short ones take each room that becomes free.
#[test]
fn an_item_that_fits_only_an_empty_engine_starts_soon() {
    let mut items: Vec<Item> = (0..4).map(|_| item(2500, 1000)).collect();
    items.push(item(TOTAL, 1000));
    // Always enough short ones to fill the engine, with staggered ends.
    items.extend((0..400).map(|n| item(2500, 700 + n % 7 * 100)));
    replay(&mut items);
    let started = items[4].started.expect("the long item starts");
    let bound = PASS_TIME_MAX.plus(Millis(1500));
    assert!(started <= bound, "after {started}");
    let last = items.iter().filter(|item| item.started.is_none()).count();
    assert_eq!(last, 0, "items are left");
}

/// Guards against an item that no engine has room for and that holds up all others.
#[test]
fn an_item_that_fits_no_engine_holds_up_no_other_one() {
    let mut items = vec![item(TOTAL + 1, 1000)];
    items.extend((0..100).map(|_| item(2500, 1000)));
    replay(&mut items);
    assert_eq!(items[0].started, None);
    assert!(items[1..].iter().all(|item| item.started.is_some()));
    // Four at a time: nothing was held up.
    let last = items[1..].iter().filter_map(|item| item.started).max();
    assert_eq!(last, Some(Millis(24_000)));
}

/// Guards against short items that wait behind a long one although there is room for them.
#[test]
fn short_items_start_beside_one_that_waits() {
    let mut items = vec![item(6000, 5000), item(6000, 5000), item(3000, 100)];
    replay(&mut items);
    assert_eq!(items[0].started, Some(Millis(0)));
    assert_eq!(items[2].started, Some(Millis(0)));
    assert_eq!(items[1].started, Some(Millis(5000)));
}

/// Guards against estimates above what an item may use, and against hints that are taken for more.
#[test]
fn an_item_needs_its_prompt_and_its_expected_output() {
    assert_eq!(tokens_needed(300, Some(100), Some(80)), 200);
    assert_eq!(tokens_needed(300, Some(100), Some(190)), 300);
    assert_eq!(tokens_needed(300, Some(100), None), 300);
    assert_eq!(tokens_needed(300, None, Some(80)), 300);
    assert_eq!(
        tokens_needed(u64::MAX, Some(u64::MAX), Some(u64::MAX)),
        u64::MAX
    );
}
