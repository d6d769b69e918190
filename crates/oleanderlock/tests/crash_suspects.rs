//! Requests under which endpoints have crashed.

use oleanderlock::prelude::*;
use oleanderlock::routing::crash_suspects::{
    CRASHES_MAX, CRASHES_PER_CALL_MAX, CrashSuspects, Crashes, KEEP_MS, report_delay,
};
use oleanderlock::routing::request_content::RequestContent;

/// Unix time of the first crash, in milliseconds.
const NOW: u64 = 1_790_000_000_000;

fn content(body: &[u8]) -> RequestContent {
    RequestContent::new("POST", "desk.example", "/calls/x?y", body)
}

#[test]
fn contents_differ_by_each_part_and_by_where_one_part_ends() {
    let all = [
        RequestContent::new("POST", "h", "/a", b"b"),
        RequestContent::new("PUT", "h", "/a", b"b"),
        RequestContent::new("POST", "i", "/a", b"b"),
        RequestContent::new("POST", "h", "/a?", b"b"),
        RequestContent::new("POST", "h", "/a", b""),
        RequestContent::new("POST", "h", "/ab", b""),
        RequestContent::new("POST", "h/", "a", b"b"),
    ];
    for (n, one) in all.iter().enumerate() {
        assert_eq!(one.as_str().len(), 32);
        assert!(!all[n + 1..].contains(one), "{n}");
    }
    assert_eq!(content(b"b"), content(b"b"));
}

#[test]
fn each_instance_counts_once_whoever_reports_it() {
    let mut suspects = CrashSuspects::default();
    let first = Crashes::of("a", NOW);
    suspects.record(content(b"x").as_str(), &first);
    suspects.record(content(b"x").as_str(), &first);
    let mut others = Crashes::of("b", NOW + 5);
    assert!(!others.merge(&Crashes::of("b", NOW)));
    assert!(others.merge(&first));
    suspects.record(content(b"x").as_str(), &others);
    let known = suspects.crashes(&content(b"x"), NOW).expect("crashes");
    assert_eq!(known.instances.len(), 2);
    assert_eq!(known.last_unix_ms, NOW + 5);
    assert_eq!(suspects.crashes(&content(b"y"), NOW), None);
}

#[test]
fn a_cleared_request_starts_again_and_old_crashes_do_not_count() {
    let mut suspects = CrashSuspects::default();
    suspects.record(content(b"x").as_str(), &Crashes::of("a", NOW));
    assert!(
        suspects
            .crashes(&content(b"x"), NOW + KEEP_MS - 1)
            .is_some()
    );
    assert_eq!(suspects.crashes(&content(b"x"), NOW + KEEP_MS), None);
    assert!(suspects.clear(content(b"x").as_str()));
    assert!(!suspects.clear(content(b"x").as_str()));
    assert!(suspects.is_empty());
}

#[test]
fn memory_is_bounded() {
    let mut suspects = CrashSuspects::default();
    for n in 0..5000 {
        suspects.record(&n.to_string(), &Crashes::of("a", NOW));
    }
    assert!(!suspects.clear("0"));
    assert!(suspects.clear("4999"));
    let mut many = Crashes::default();
    for n in 0..100 {
        many.merge(&Crashes::of(&n.to_string(), NOW));
    }
    assert_eq!(many.instances.len(), 16);
}

#[test]
fn others_learn_at_once_of_a_request_whose_retry_has_crashed_an_endpoint_too() {
    assert!(report_delay(1) > Millis::ZERO);
    for crashes in CRASHES_PER_CALL_MAX..=CRASHES_MAX {
        assert_eq!(report_delay(crashes), Millis::ZERO, "{crashes} crashes");
    }
}
