//! The result log, which has one order for all readers whoever writes it, and the watch of a standby
//! over the leader.

use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::leader_probe::LeaderProbe;
use oleanderlock::batch::leader_watch::LeaderWatch;
use oleanderlock::batch::pulse_verdict::PulseVerdict;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::prelude::*;

const MAX_BYTES: usize = 1 << 20;

fn sample(item: &str, text: &str) -> Sample {
    Sample {
        key: ItemKey {
            job: "j".to_owned(),
            item: item.to_owned(),
        },
        end: SampleEnd::Done {
            text: text.to_owned(),
            versions: vec![1],
            score: None,
        },
    }
}

fn items(log: &ResultLog, after: usize) -> Vec<String> {
    let read = log.read("j", after, MAX_BYTES);
    read.iter().map(|one| one.key.item.clone()).collect()
}

#[test]
fn results_are_listed_only_after_their_chunk_is_stored() {
    let mut log = ResultLog::default();
    assert!(log.stage(sample("a", "x")));
    assert_eq!(items(&log, 0), Vec::<String>::new());
    let chunk = log
        .next_chunk("me", 0, MAX_BYTES)
        .expect("a result is staged");
    assert_eq!(items(&log, 0), Vec::<String>::new());
    assert!(log.apply(&chunk));
    assert_eq!(items(&log, 0), ["a"]);
}

#[test]
fn an_item_has_one_result() {
    let mut log = ResultLog::default();
    assert!(log.stage(sample("a", "x")));
    assert!(!log.stage(sample("a", "y")));
    let chunk = log
        .next_chunk("me", 0, MAX_BYTES)
        .expect("a result is staged");
    log.apply(&chunk);
    assert!(!log.stage(sample("a", "z")));
    assert!(log.next_chunk("me", 0, MAX_BYTES).is_none());
}

#[test]
fn a_chunk_whose_write_is_unanswered_is_repeated_unchanged() {
    let mut log = ResultLog::default();
    log.stage(sample("a", "x"));
    let first = log.next_chunk("me", 0, MAX_BYTES);
    log.stage(sample("b", "x"));
    assert_eq!(log.next_chunk("me", 5, MAX_BYTES), first);
}

#[test]
fn results_are_listed_after_the_chunk_of_another_writer() {
    let mut old = ResultLog::default();
    let mut new = ResultLog::default();
    old.stage(sample("a", "old"));
    old.stage(sample("b", "old"));
    new.stage(sample("b", "new"));
    new.stage(sample("c", "new"));
    let own = old
        .next_chunk("old", 0, MAX_BYTES)
        .expect("two results are staged");
    let other = new
        .next_chunk("new", 0, MAX_BYTES)
        .expect("two results are staged");
    new.apply(&other);
    // The store has the chunk of the other writer under this number.
    old.apply(&other);
    let rest = old
        .next_chunk("old", 0, MAX_BYTES)
        .expect("one result is left");
    assert_eq!(rest.index, own.index + 1);
    old.apply(&rest);
    new.apply(&rest);
    assert_eq!(items(&old, 0), ["b", "c", "a"]);
    assert_eq!(items(&new, 0), items(&old, 0));
    assert_eq!(items(&new, 2), ["a"]);
}

#[test]
fn chunks_are_applied_in_order_and_once() {
    let mut log = ResultLog::default();
    log.stage(sample("a", "x"));
    let first = log
        .next_chunk("me", 0, MAX_BYTES)
        .expect("a result is staged");
    log.apply(&first);
    assert!(!log.apply(&first));
    let mut later = ResultLog::default();
    later.apply(&first);
    assert_eq!(items(&later, 0), ["a"]);
}

#[test]
fn a_read_returns_at_least_one_result_even_if_it_is_large() {
    let mut log = ResultLog::default();
    log.stage(sample("a", &"x".repeat(500)));
    log.stage(sample("b", &"x".repeat(500)));
    while let Some(chunk) = log.next_chunk("me", 0, 100) {
        assert_eq!(chunk.samples.len(), 1);
        log.apply(&chunk);
    }
    assert_eq!(log.read("j", 0, 100).len(), 1);
    assert_eq!(log.read("j", 1, 100).len(), 1);
    assert_eq!(log.read("j", 2, 100).len(), 0);
    assert_eq!(log.read("j", 99, 100).len(), 0);
    assert_eq!(log.read("unknown", 0, 100).len(), 0);
}

const HEALTHY_LEADER: LeaderProbe = LeaderProbe::Leading {
    store_age: Millis(100),
};

#[test]
fn a_standby_takes_over_after_three_misses_and_without_a_new_pulse() {
    let mut watch = LeaderWatch::default();
    assert!(watch.record_probe(Millis(0), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(0), 7), PulseVerdict::Wait);
    assert!(watch.record_probe(Millis(1700), LeaderProbe::NotLeading));
    assert_eq!(watch.record_pulse(Millis(1700), 7), PulseVerdict::Wait);
    assert!(watch.record_probe(Millis(1800), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(1800), 7), PulseVerdict::TakeOver);
    // It tries again after each further miss.
    assert!(watch.record_probe(Millis(1900), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(1900), 7), PulseVerdict::TakeOver);
}

#[test]
fn a_standby_does_not_take_over_after_three_quick_misses() {
    let mut watch = LeaderWatch::default();
    for at in [0, 400, 800, 1200] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
}

#[test]
fn a_partitioned_standby_does_not_take_over_from_a_live_leader() {
    let mut watch = LeaderWatch::default();
    for number in 0..20 {
        let at = Millis(number * 1000);
        assert!(watch.record_probe(at, LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(at, number), PulseVerdict::Wait);
    }
}

#[test]
fn an_answer_of_the_leader_resets_the_misses() {
    let mut watch = LeaderWatch::default();
    for at in [0, 1000] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
    assert!(!watch.record_probe(Millis(1500), HEALTHY_LEADER));
    assert!(watch.record_probe(Millis(5000), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(5000), 7), PulseVerdict::Wait);
}

#[test]
fn a_leader_without_the_store_counts_as_missed() {
    let mut watch = LeaderWatch::default();
    let without_store = LeaderProbe::Leading {
        store_age: Millis(2500),
    };
    for at in [0, 1000] {
        assert!(watch.record_probe(Millis(at), without_store));
        assert_eq!(watch.record_pulse(Millis(at), 7), PulseVerdict::Wait);
    }
    assert!(watch.record_probe(Millis(2000), without_store));
    assert_eq!(watch.record_pulse(Millis(2000), 7), PulseVerdict::TakeOver);
}

#[test]
fn a_leader_lost_during_an_outage_of_the_store_is_probed_again_after_the_outage() {
    let mut watch = LeaderWatch::default();
    // The store answers no read of the pulse until second 5.
    for at in [0, 1600, 3200, 4800] {
        assert!(watch.record_probe(Millis(at), LeaderProbe::NoAnswer));
    }
    assert_eq!(
        watch.record_pulse(Millis(5000), 7),
        PulseVerdict::ProbeAgain
    );
    // If that takeover fails, the pulse is judged as usual.
    assert!(watch.record_probe(Millis(5500), LeaderProbe::NoAnswer));
    assert_eq!(watch.record_pulse(Millis(5600), 7), PulseVerdict::Wait);
    assert_eq!(watch.record_pulse(Millis(6400), 7), PulseVerdict::TakeOver);
}
