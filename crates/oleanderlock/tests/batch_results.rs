//! The result log: one order for all readers, whichever dispatcher writes.

use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;

const MAX_BYTES: usize = 1 << 20;

fn sample(item: &str, text: &str) -> Sample {
    Sample {
        key: ItemKey {
            job: "j".to_owned(),
            item: item.to_owned(),
        },
        end: SampleEnd::Done {
            text: text.into(),
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

/// Returns the chunk number `index` with the results of these items, each of 100 bytes of text.
fn chunk_of(index: u64, items: &[&str]) -> ResultChunk {
    let text = "x".repeat(100);
    ResultChunk {
        index,
        writer: String::new(),
        written_unix_ms: 0,
        samples: items.iter().map(|item| sample(item, &text)).collect(),
    }
}

// Guards against memory that grows with what has been listed, and against positions that change when
// results are only in their chunks.
#[test]
fn results_beyond_the_budget_are_read_again_from_their_chunks() {
    let budget = 2 * sample("a", &"x".repeat(100)).size_bytes();
    let mut log = ResultLog::with_budget(budget);
    let chunks: Vec<ResultChunk> = [["a", "b"], ["c", "d"], ["e", "f"]]
        .iter()
        .zip(0..)
        .map(|(items, index)| chunk_of(index, items))
        .collect();
    for chunk in &chunks {
        assert!(log.apply(chunk));
        assert!(log.loaded_bytes() <= budget);
    }
    assert_eq!(log.listed_count("j"), 6);
    assert_eq!(items(&log, 4), ["e", "f"]);
    assert_eq!(items(&log, 0), Vec::<String>::new());
    assert_eq!(log.missing_chunks("j", 0, MAX_BYTES), [0, 1]);
    for (after, index) in [(0, 0), (2, 1), (0, 0)] {
        log.reload(&chunks[index]);
        assert!(log.loaded_bytes() <= budget);
        let expected: Vec<String> = chunks[index]
            .samples
            .iter()
            .map(|one| one.key.item.clone())
            .collect();
        assert_eq!(items(&log, after), expected);
    }
    // A repeated reading, and results of removed jobs, take no memory twice.
    log.reload(&chunks[0]);
    assert!(log.loaded_bytes() <= budget);
    log.remove_job("j");
    assert_eq!(log.loaded_bytes(), 0);
}

// Guards against older results that a new leader no longer lists: a chunk in front of them was gone.
#[test]
fn results_behind_a_gap_of_deleted_chunks_are_listed() {
    let mut older = ResultLog::with_budget(0);
    for (index, item) in [(3, "a"), (5, "b"), (6, "c")] {
        older.skip_to(index);
        assert!(older.apply(&chunk_of(index, &[item])));
    }
    let mut log = ResultLog::default();
    assert!(log.apply(&chunk_of(7, &["d"])));
    log.prepend(older, |_| true);
    assert_eq!(log.listed_count("j"), 4);
    for index in [3, 5] {
        log.reload(&chunk_of(index, &[if index == 3 { "a" } else { "b" }]));
    }
    assert_eq!(items(&log, 0), ["a", "b", "c", "d"]);
}
