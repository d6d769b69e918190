//! Model check of sample delivery and of streamed answers, on the production code.

mod samples_support;

use oleanderlock::sample_guards::SampleGuards;
use samples_support::delivery_model::{self as delivery, DeliveryModel, Event};
use samples_support::search::Search;
use samples_support::stream_model::{self as stream, StreamModel};
use std::time::Instant;

/// Bounds with one slot and all faults; exhausted only with few faults.
fn one_slot() -> delivery::Bounds {
    delivery::Bounds {
        groups: vec![1],
        staleness: 0,
        max_version: 1,
        faults: 2,
        net: 2,
        attempts: 3,
        attempts_per_slot: 1,
        answer_bytes: u64::MAX,
        states: 250_000,
        check_completion_every: 16,
        allowed_faults: |_| true,
    }
}

/// Bounds with two samples in one group.
fn two_slots() -> delivery::Bounds {
    delivery::Bounds {
        groups: vec![2],
        ..one_slot()
    }
}

/// Loss and duplication of messages, and a trainer that restarts from its checkpoint.
fn is_network_or_trainer(event: Event) -> bool {
    matches!(
        event,
        Event::Lose(_) | Event::Repeat(_) | Event::RestartTrainer
    )
}

/// Crash of an owner, expiry of a lease whose holder does not notice, and outage of the store.
fn is_owner_or_store(event: Event) -> bool {
    matches!(
        event,
        Event::CrashOwner(_) | Event::ExpireLease | Event::StoreDown
    )
}

/// Failed attempts, truncated results and failed swaps.
fn is_engine(event: Event) -> bool {
    matches!(
        event,
        Event::FinishTruncated(_) | Event::FailAttempt(_) | Event::FailSwap { .. }
    )
}

fn stream_bounds() -> stream::Bounds {
    stream::Bounds {
        totals: vec![3, 2],
        max_version: 1,
        net: 3,
        faults: 1,
        states: 150_000,
        both_reports: true,
        check_completion: true,
    }
}

fn report(name: &str, search: &Search, started: Instant) {
    let ms = started.elapsed().as_millis();
    println!("{name}: {search} ms={ms} peak_rss_kib={}", peak_rss_kib());
}

fn peak_rss_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn search_delivery(name: &str, bounds: delivery::Bounds, guards: SampleGuards) -> Search {
    let started = Instant::now();
    let search = DeliveryModel::new(bounds, guards).run();
    report(name, &search, started);
    search
}

fn search_stream(name: &str, bounds: stream::Bounds, guards: SampleGuards) -> Search {
    let started = Instant::now();
    let search = StreamModel::new(bounds, guards).run();
    report(name, &search, started);
    search
}

fn assert_detected(name: &str, search: &Search, invariant: &str) {
    let broken = search
        .violation
        .as_ref()
        .map(|violation| violation.invariant);
    assert_eq!(broken, Some(invariant));
    println!("violation detected without {name}");
}

fn assert_holds(searches: &[Search]) {
    let broken = searches.iter().find(|search| search.violation.is_some());
    assert!(broken.is_none());
}

#[test]
fn delivery_keeps_its_invariants_within_quick_bounds() {
    let all = SampleGuards::ALL;
    let network = delivery::Bounds {
        allowed_faults: is_network_or_trainer,
        ..one_slot()
    };
    let owners = delivery::Bounds {
        allowed_faults: is_owner_or_store,
        max_version: 0,
        ..one_slot()
    };
    let engine = delivery::Bounds {
        allowed_faults: is_engine,
        ..one_slot()
    };
    let pair = delivery::Bounds {
        faults: 1,
        max_version: 0,
        states: 60_000,
        ..two_slots()
    };
    let searches = [
        search_delivery("one slot, network and trainer", network, all),
        search_delivery("one slot, owners and store", owners, all),
        search_delivery("one slot, engine", engine, all),
        search_delivery("two slots", pair, all),
    ];
    assert_holds(&searches);
    assert!(searches[..3].iter().all(|search| search.exhausted));
}

#[test]
fn streams_keep_their_invariants_within_quick_bounds() {
    let search = search_stream("stream", stream_bounds(), SampleGuards::ALL);
    assert!(search.exhausted);
    assert_holds(&[search]);
}

#[test]
fn every_disabled_delivery_guard_is_detected() {
    use delivery::*;
    let all = SampleGuards::ALL;
    let one = delivery::Bounds {
        check_completion_every: usize::MAX,
        ..one_slot()
    };
    let two = delivery::Bounds {
        groups: vec![2],
        ..one.clone()
    };
    let hedged = delivery::Bounds {
        attempts_per_slot: 2,
        staleness: 1,
        faults: 0,
        ..one.clone()
    };
    let calm = delivery::Bounds {
        faults: 0,
        ..two.clone()
    };
    let split = delivery::Bounds {
        answer_bytes: 1,
        ..calm.clone()
    };
    let live = delivery::Bounds {
        check_completion_every: 1,
        ..one.clone()
    };
    let rewound = delivery::Bounds {
        faults: 1,
        max_version: 0,
        allowed_faults: is_network_or_trainer,
        ..two.clone()
    };
    let mutations = [
        (
            "full_cover",
            &one,
            SampleGuards {
                full_cover: false,
                ..all
            },
            INCOMPLETE,
        ),
        (
            "known_version",
            &one,
            SampleGuards {
                known_version: false,
                ..all
            },
            MISATTRIBUTED,
        ),
        (
            "settle_once",
            &hedged,
            SampleGuards {
                settle_once: false,
                ..all
            },
            RESETTLED,
        ),
        (
            "staleness_at_delivery",
            &one,
            SampleGuards {
                staleness_at_delivery: false,
                ..all
            },
            TOO_OLD,
        ),
        (
            "matches_version",
            &one,
            SampleGuards {
                matches_version: false,
                ..all
            },
            TOO_OLD,
        ),
        (
            "skip_held",
            &calm,
            SampleGuards {
                skip_held: false,
                ..all
            },
            ACCEPTED_TWICE,
        ),
        (
            "follows_cursor",
            &one,
            SampleGuards {
                follows_cursor: false,
                ..all
            },
            ACCEPTED_TWICE,
        ),
        (
            "delivered_only",
            &split,
            SampleGuards {
                delivered_only: false,
                ..all
            },
            CURSOR_MISMATCH,
        ),
        (
            "follow_rewind",
            &rewound,
            SampleGuards {
                follow_rewind: false,
                ..all
            },
            CURSOR_MISMATCH,
        ),
        (
            "regenerate",
            &live,
            SampleGuards {
                regenerate: false,
                ..all
            },
            NEVER_COMPLETE,
        ),
    ];
    for (name, bounds, guards, invariant) in mutations {
        let search = search_delivery(&format!("without {name}"), bounds.clone(), guards);
        assert_detected(name, &search, invariant);
    }
}

#[test]
fn every_disabled_stream_guard_is_detected() {
    use stream::*;
    let all = SampleGuards::ALL;
    let live = stream_bounds();
    let safe = stream::Bounds {
        check_completion: false,
        ..stream_bounds()
    };
    let even = stream::Bounds {
        totals: vec![3, 3],
        ..safe.clone()
    };
    let one_report = stream::Bounds {
        both_reports: false,
        ..safe.clone()
    };
    let mutations = [
        (
            "current_attempt",
            &even,
            SampleGuards {
                current_attempt: false,
                ..all
            },
            MIXED_ATTEMPTS,
        ),
        (
            "end_mark",
            &safe,
            SampleGuards {
                end_mark: false,
                ..all
            },
            INCOMPLETE,
        ),
        (
            "clear_pending",
            &even,
            SampleGuards {
                clear_pending: false,
                ..all
            },
            MIXED_ATTEMPTS,
        ),
        (
            "reset_end",
            &live,
            SampleGuards {
                reset_end: false,
                ..all
            },
            NEVER_COMPLETE,
        ),
        (
            "keep_released",
            &safe,
            SampleGuards {
                keep_released: false,
                ..all
            },
            RELEASED_NOT_PREFIX,
        ),
        ("both_reports", &one_report, all, MISATTRIBUTED),
    ];
    for (name, bounds, guards, invariant) in mutations {
        let search = search_stream(&format!("without {name}"), bounds.clone(), guards);
        assert_detected(name, &search, invariant);
    }
}

#[test]
#[ignore = "takes minutes; run by make model-check"]
fn deep_bounds() {
    const STATES: usize = 10_000_000;
    let all = SampleGuards::ALL;
    let deep = delivery::Bounds {
        states: STATES,
        check_completion_every: 64,
        ..one_slot()
    };
    let hedged = delivery::Bounds {
        attempts_per_slot: 2,
        allowed_faults: is_engine,
        ..deep.clone()
    };
    let owners = delivery::Bounds {
        allowed_faults: is_owner_or_store,
        ..deep.clone()
    };
    let versions = delivery::Bounds {
        staleness: 1,
        max_version: 2,
        allowed_faults: is_engine,
        ..deep.clone()
    };
    let pair = delivery::Bounds {
        groups: vec![2],
        faults: 1,
        max_version: 0,
        ..deep.clone()
    };
    let streams = stream::Bounds {
        faults: 2,
        states: STATES / 10,
        ..stream_bounds()
    };
    let searches = [
        search_stream("stream, two faults", streams, all),
        search_delivery("one slot with hedges, engine", hedged, all),
        search_delivery("one slot, three versions, engine", versions, all),
        search_delivery("two slots, one fault of any kind", pair, all),
        search_delivery("one slot, two faults of owners and store", owners, all),
        search_delivery("one slot, two faults of any kind", deep, all),
    ];
    assert_holds(&searches);
}
