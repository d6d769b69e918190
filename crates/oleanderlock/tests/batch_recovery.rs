//! What a new leader reads before it leads: only chunks with results of jobs that go on, by what
//! the leader before it wrote, however old that is.

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
const SEEDS: u64 = 300;

fn sample(job: usize, item: u32) -> Sample {
    Sample {
        key: ItemKey {
            job: format!("j{job}"),
            item: item.to_string(),
        },
        end: SampleEnd::GivenUp,
    }
}

/// Chunks that stand, ends of jobs, and what leaders wrote meanwhile.
#[derive(Default)]
struct Story {
    chunks: Vec<ResultChunk>,
    ended: IndexSet<String>,
    needed: Vec<u64>,
}

impl Story {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 5)? {
            let job = u.choose_index(JOBS)?;
            self.ended.insert(format!("j{job}"));
            return Ok(());
        }
        let index = self.chunks.len() as u64;
        let mut samples = Vec::new();
        for _ in 0..u.int_in_range(1..=3)? {
            // Late results of jobs that have ended, and items twice, stand in chunks as well.
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

    /// A leader writes what it knows; it may have missed the last chunks and ends.
    fn pulse(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let chunks = u.choose_index(self.chunks.len() + 1)?;
        let ends = u.choose_index(self.ended.len() + 1)?;
        let ended = self.ended.iter().take(ends).cloned().collect();
        self.needed
            .push(log_of(&self.chunks[..chunks]).needed_from(&ended));
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

fn check(story: &Story, from: u64) {
    let whole = log_of(&story.chunks);
    let first = usize::try_from(from.saturating_sub(1)).expect("a small number");
    let first = first.min(story.chunks.len().saturating_sub(1));
    let mut log = log_of(&story.chunks[first..]);
    let jobs = (0..JOBS).map(|job| format!("j{job}"));
    let jobs: Vec<String> = jobs.collect();
    for job in jobs.iter().filter(|job| !story.ended.contains(*job)) {
        assert_eq!(
            results(&log, job),
            results(&whole, job),
            "{job} from {from}"
        );
    }
    log.prepend(story.chunks[..first].to_vec(), |_| true);
    for job in &jobs {
        assert_eq!(results(&log, job), results(&whole, job), "{job} in the end");
    }
    assert_eq!(log.next_index(), whole.next_index());
    assert_eq!(
        log.needed_from(&story.ended),
        whole.needed_from(&story.ended)
    );
    let mut ended_anew = log.clone();
    assert!(
        !story
            .chunks
            .iter()
            .flat_map(|chunk| &chunk.samples)
            .any(|one| ended_anew.stage(one.clone()))
    );
}

#[test]
fn jobs_that_go_on_are_whole_at_once_and_all_others_later() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut story = Story::default();
            for _ in 0..u.int_in_range(1..=40)? {
                story.step(u)?;
                if u.ratio(1, 4)? {
                    story.pulse(u)?;
                }
            }
            for from in &story.needed {
                check(&story, *from);
            }
            Ok(())
        })
        .seed(seed << 32 | 2_048)
        .run();
    }
}

#[test]
fn chunks_of_ended_jobs_alone_are_not_needed() {
    let mut story = Story::default();
    for job in [0, 0, 1, 1] {
        let index = story.chunks.len() as u64;
        story.chunks.push(ResultChunk {
            index,
            writer: String::new(),
            written_unix_ms: 0,
            samples: vec![sample(job, u32::try_from(index).expect("small"))],
        });
    }
    let log = log_of(&story.chunks);
    assert_eq!(log.needed_from(&story.ended), 0);
    story.ended.insert("j0".to_owned());
    assert_eq!(log.needed_from(&story.ended), 2);
    story.ended.insert("j1".to_owned());
    assert_eq!(log.needed_from(&story.ended), 4);
}

#[test]
fn older_results_of_jobs_that_were_deleted_are_left_out() {
    let chunk = |index, job| ResultChunk {
        index,
        writer: String::new(),
        written_unix_ms: 0,
        samples: vec![sample(job, 0)],
    };
    let mut log = log_of(&[chunk(2, 1)]);
    log.prepend(vec![chunk(0, 0), chunk(1, 2)], |job| job == "j2");
    assert_eq!(results(&log, "j0"), []);
    assert_eq!(results(&log, "j2").len(), 1);
    // The deleted job would else be read again by each later leader.
    let ended = IndexSet::from(["j2".to_owned()]);
    assert_eq!(log.needed_from(&ended), 2);
}
