//! Rate limits of calls to the store, backoff after failures, and positions of watches.

use arbtest::arbtest;
use oleanderlock::backoff::{Backoff, BackoffConfig};
use oleanderlock::prelude::*;
use oleanderlock::store_budget::StoreBudget;
use oleanderlock::store_call::StoreCall;
use oleanderlock::store_rates::StoreRates;
use oleanderlock::store_wait::StoreWait;
use oleanderlock::watch_call::WatchCall;
use oleanderlock::watch_position::WatchPosition;

const SEEDS: std::ops::Range<u64> = 1..201;

fn budget(
    read_millicalls_per_second: u64,
    write_millicalls_per_second: u64,
    burst: u64,
) -> StoreBudget {
    let rates = StoreRates {
        read_millicalls_per_second,
        write_millicalls_per_second,
        burst,
    };
    StoreBudget::new(Millis(0), rates, BackoffConfig::default())
}

#[test]
fn rate_is_kept_over_any_period() {
    // 80% of 300 writes per second, shared by 350 entries.
    let rate = StoreRates::share_millicalls_per_second(300, 80, 350);
    assert_eq!(rate, 685);
    for seed in SEEDS {
        arbtest(|u| {
            let burst = u.int_in_range(1..=20)?;
            let mut budget = budget(rate, rate, burst);
            let mut now = 0;
            let mut taken = 0;
            for _ in 0..300 {
                now += u.int_in_range(0..=900)?;
                taken += u64::from(budget.take(Millis(now), StoreCall::Write).is_ok());
                assert!(taken * 1_000_000 <= now * rate + burst * 1_000_000);
            }
            Ok(())
        })
        .seed(seed << 32 | 16_384)
        .run();
    }
}

#[test]
fn wait_is_exact() {
    let mut budget = budget(2000, 500, 1);
    assert_eq!(budget.take(Millis(0), StoreCall::Write), Ok(()));
    let wait = |ms| {
        Err(StoreWait {
            wait: Millis(ms),
            backoff: false,
        })
    };
    assert_eq!(budget.take(Millis(0), StoreCall::Write), wait(2000));
    assert_eq!(budget.take(Millis(1999), StoreCall::Write), wait(1));
    assert_eq!(budget.take(Millis(2000), StoreCall::Write), Ok(()));
    // Reads have a separate bucket.
    assert_eq!(budget.take(Millis(2000), StoreCall::Read), Ok(()));
    assert_eq!(budget.take(Millis(2000), StoreCall::Read), wait(500));
}

#[test]
fn failure_delays_all_calls_until_an_answer() {
    let mut budget = budget(1_000_000, 1_000_000, 10);
    budget.on_failure(Millis(0), Millis::ZERO, 0);
    let held = Err(StoreWait {
        wait: Millis(50),
        backoff: true,
    });
    assert_eq!(budget.take(Millis(0), StoreCall::Read), held);
    assert_eq!(budget.take(Millis(50), StoreCall::Read), Ok(()));
    budget.on_failure(Millis(50), Millis(3000), 0);
    let held = Err(StoreWait {
        wait: Millis(3000),
        backoff: true,
    });
    assert_eq!(budget.take(Millis(50), StoreCall::Write), held);
    budget.on_answer();
    assert_eq!(budget.take(Millis(51), StoreCall::Write), Ok(()));
}

#[test]
fn backoff_doubles_up_to_its_bound_with_jitter() {
    let cfg = BackoffConfig {
        min: Millis(100),
        max: Millis(1000),
    };
    let mut low = Backoff::new(cfg);
    let mut high = Backoff::new(cfg);
    for bound in [100, 200, 400, 800, 1000, 1000] {
        assert_eq!(low.fail(0), Millis(bound / 2));
        assert_eq!(high.fail(bound / 2), Millis(bound));
    }
    low.succeed();
    assert_eq!(low.fail(0), Millis(50));
    let mut long = Backoff::new(BackoffConfig::default());
    assert!(
        (0..200)
            .map(|draw| long.fail(draw))
            .all(|wait| wait <= Millis::from_secs(10))
    );
}

#[test]
fn watch_continues_at_its_position_and_lists_if_history_is_gone() {
    let mut position = WatchPosition::default();
    assert_eq!(position.next(), WatchCall::List);
    position.on_read(Generation(5));
    position.on_read(Generation(9));
    let after = Generation(9);
    assert_eq!(position.next(), WatchCall::Watch { after });
    position.on_read(Generation(9));
    assert_eq!(position.next(), WatchCall::Watch { after });
    position.on_read(Generation(3));
    assert_eq!(position.next(), WatchCall::List);
    position.on_read(Generation(3));
    position.on_history_gone();
    assert_eq!(position.next(), WatchCall::List);
}
