//! The result log: one order for all readers, whoever writes.

use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::leadership::{LeaderProbe, LeaderWatch};
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::{Sample, SampleEnd};
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
fn results_are_listed_only_when_their_chunk_stands() {
    let mut log = ResultLog::default();
    assert!(log.stage(sample("a", "x")));
    assert_eq!(items(&log, 0), Vec::<String>::new());
    let chunk = log.chunk("me", 0, MAX_BYTES).expect("one waits");
    assert_eq!(items(&log, 0), Vec::<String>::new());
    assert!(log.apply(&chunk));
    assert_eq!(items(&log, 0), ["a"]);
}

#[test]
fn an_item_has_one_result() {
    let mut log = ResultLog::default();
    assert!(log.stage(sample("a", "x")));
    assert!(!log.stage(sample("a", "y")));
    let chunk = log.chunk("me", 0, MAX_BYTES).expect("one waits");
    log.apply(&chunk);
    assert!(!log.stage(sample("a", "z")));
    assert!(log.chunk("me", 0, MAX_BYTES).is_none());
}

#[test]
fn a_chunk_without_an_answer_is_written_again_as_it_was() {
    let mut log = ResultLog::default();
    log.stage(sample("a", "x"));
    let first = log.chunk("me", 0, MAX_BYTES);
    log.stage(sample("b", "x"));
    assert_eq!(log.chunk("me", 5, MAX_BYTES), first);
}

#[test]
fn results_go_behind_the_chunk_of_another_writer() {
    let mut old = ResultLog::default();
    let mut new = ResultLog::default();
    old.stage(sample("a", "old"));
    old.stage(sample("b", "old"));
    new.stage(sample("b", "new"));
    new.stage(sample("c", "new"));
    let own = old.chunk("old", 0, MAX_BYTES).expect("two wait");
    let other = new.chunk("new", 0, MAX_BYTES).expect("two wait");
    new.apply(&other);
    // The store has the other's chunk under the number.
    old.apply(&other);
    let rest = old.chunk("old", 0, MAX_BYTES).expect("one is left");
    assert_eq!(rest.index, own.index + 1);
    old.apply(&rest);
    new.apply(&rest);
    assert_eq!(items(&old, 0), ["b", "c", "a"]);
    assert_eq!(items(&new, 0), items(&old, 0));
    assert_eq!(items(&new, 2), ["a"]);
}

#[test]
fn chunks_are_taken_in_order_and_once() {
    let mut log = ResultLog::default();
    log.stage(sample("a", "x"));
    let first = log.chunk("me", 0, MAX_BYTES).expect("one waits");
    log.apply(&first);
    assert!(!log.apply(&first));
    let mut later = ResultLog::default();
    later.apply(&first);
    assert_eq!(items(&later, 0), ["a"]);
}

#[test]
fn an_answer_holds_one_result_even_if_it_is_large() {
    let mut log = ResultLog::default();
    log.stage(sample("a", &"x".repeat(500)));
    log.stage(sample("b", &"x".repeat(500)));
    while let Some(chunk) = log.chunk("me", 0, 100) {
        assert_eq!(chunk.samples.len(), 1);
        log.apply(&chunk);
    }
    assert_eq!(log.read("j", 0, 100).len(), 1);
    assert_eq!(log.read("j", 1, 100).len(), 1);
    assert_eq!(log.read("j", 2, 100).len(), 0);
    assert_eq!(log.read("j", 99, 100).len(), 0);
    assert_eq!(log.read("unknown", 0, 100).len(), 0);
}

#[test]
fn a_standby_takes_over_after_three_probes_without_an_answer() {
    let mut watch = LeaderWatch::default();
    assert!(!watch.probed(LeaderProbe::NoAnswer));
    assert!(!watch.probed(LeaderProbe::NotLeading));
    assert!(watch.probed(LeaderProbe::NoAnswer));
}

#[test]
fn a_standby_tries_at_each_further_miss() {
    let mut watch = LeaderWatch::default();
    let tries = (0..10).filter(|_| watch.probed(LeaderProbe::NoAnswer));
    assert_eq!(tries.count(), 8);
}

#[test]
fn an_answer_of_the_leader_starts_the_count_anew() {
    let mut watch = LeaderWatch::default();
    let leads = |age| LeaderProbe::Leading {
        store_age: Millis(age),
    };
    assert!(!watch.probed(LeaderProbe::NoAnswer));
    assert!(!watch.probed(LeaderProbe::NoAnswer));
    assert!(!watch.probed(leads(100)));
    assert!(!watch.probed(LeaderProbe::NoAnswer));
    assert!(!watch.probed(leads(2500)));
    assert!(watch.probed(leads(3000)));
}
