//! Recovery of the result log by a new leader: it reads only the chunks that may hold results of open
//! jobs, according to a record of the previous leader that may be outdated.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use indexmap::IndexSet;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;

const JOBS: usize = 5;
const ITEMS: u32 = 6;
const CASES: u64 = 300;

fn sample(job: usize, item: u32) -> Sample {
    Sample {
        key: ItemKey {
            job: format!("j{job}"),
            item: item.to_string(),
        },
        end: SampleEnd::GivenUp,
    }
}

/// Stored chunks, ended jobs, and the values of `first_needed_chunk` that leaders recorded meanwhile.
#[derive(Default)]
struct History {
    chunks: Vec<ResultChunk>,
    ended: IndexSet<String>,
    needed: Vec<u64>,
}

impl History {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 5)? {
            let job = u.choose_index(JOBS)?;
            self.ended.insert(format!("j{job}"));
            return Ok(());
        }
        let index = self.chunks.len() as u64;
        let mut samples = Vec::new();
        for _ in 0..u.int_in_range(1..=3)? {
            // Chunks may also hold late results of ended jobs, and items twice.
            let job = u.choose_index(JOBS)?;
            let one = sample(job, u.int_in_range(0..=ITEMS)?);
            let of_ended = self.ended.contains(&one.key.job);
            if !of_ended || u.ratio(1, 4)? {
                samples.push(one);
            }
        }
        self.chunks.push(ResultChunk {
            index,
            writer: format!("w-{index}"),
            written_unix_ms: index,
            samples,
        });
        Ok(())
    }

    /// Records `first_needed_chunk` as known to a leader that may have missed the latest chunks and ends.
    fn record_first_needed_chunk(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let chunks = u.choose_index(self.chunks.len() + 1)?;
        let ends = u.choose_index(self.ended.len() + 1)?;
        let ended = self.ended.iter().take(ends).cloned().collect();
        self.needed
            .push(log_of(&self.chunks[..chunks]).first_needed_chunk(&ended));
        Ok(())
    }
}

fn log_of(chunks: &[ResultChunk]) -> ResultLog {
    let mut log = ResultLog::default();
    for chunk in chunks {
        assert!(log.apply(chunk));
    }
    log
}

fn results(log: &ResultLog, job: &str) -> Vec<ItemKey> {
    let read = log.read(job, 0, usize::MAX);
    read.iter().map(|sample| sample.key.clone()).collect()
}

fn check(history: &History, from: u64) {
    let whole = log_of(&history.chunks);
    let first = usize::try_from(from.saturating_sub(1)).expect("a small number");
    let first = first.min(history.chunks.len().saturating_sub(1));
    let mut log = log_of(&history.chunks[first..]);
    let jobs = (0..JOBS).map(|job| format!("j{job}"));
    let jobs: Vec<String> = jobs.collect();
    for job in jobs.iter().filter(|job| !history.ended.contains(*job)) {
        assert_eq!(
            results(&log, job),
            results(&whole, job),
            "{job} from {from}"
        );
    }
    log.prepend(log_of(&history.chunks[..first]), |_| true);
    for job in &jobs {
        assert_eq!(
            results(&log, job),
            results(&whole, job),
            "{job} after the older chunks"
        );
    }
    assert_eq!(log.next_chunk_index(), whole.next_chunk_index());
    assert_eq!(
        log.first_needed_chunk(&history.ended),
        whole.first_needed_chunk(&history.ended)
    );
    let mut restaged = log.clone();
    assert!(
        !history
            .chunks
            .iter()
            .flat_map(|chunk| &chunk.samples)
            .any(|one| restaged.stage(one.clone()))
    );
}

#[test]
fn open_jobs_are_complete_at_once_and_all_others_later() {
    for seed in 0..CASES {
        arbtest(|u| {
            let mut history = History::default();
            for _ in 0..u.int_in_range(1..=40)? {
                history.step(u)?;
                if u.ratio(1, 4)? {
                    history.record_first_needed_chunk(u)?;
                }
            }
            for from in &history.needed {
                check(&history, *from);
            }
            Ok(())
        })
        .seed(seed << 32 | 2_048)
        .run();
    }
}

#[test]
fn chunks_with_only_ended_jobs_are_not_needed() {
    let mut history = History::default();
    for job in [0, 0, 1, 1] {
        let index = history.chunks.len() as u64;
        history.chunks.push(ResultChunk {
            index,
            writer: String::new(),
            written_unix_ms: 0,
            samples: vec![sample(job, u32::try_from(index).expect("small"))],
        });
    }
    let log = log_of(&history.chunks);
    assert_eq!(log.first_needed_chunk(&history.ended), 0);
    history.ended.insert("j0".to_owned());
    assert_eq!(log.first_needed_chunk(&history.ended), 2);
    history.ended.insert("j1".to_owned());
    assert_eq!(log.first_needed_chunk(&history.ended), 4);
}

#[test]
fn older_results_of_deleted_jobs_are_skipped() {
    let chunk = |index, job| ResultChunk {
        index,
        writer: String::new(),
        written_unix_ms: 0,
        samples: vec![sample(job, 0)],
    };
    let mut log = log_of(&[chunk(2, 1)]);
    log.prepend(log_of(&[chunk(0, 0), chunk(1, 2)]), |job| job == "j2");
    assert_eq!(results(&log, "j0"), []);
    assert_eq!(results(&log, "j2").len(), 1);
    // Otherwise each later leader would read the chunks of the deleted job again.
    let ended = IndexSet::from(["j2".to_owned()]);
    assert_eq!(log.first_needed_chunk(&ended), 2);
}
