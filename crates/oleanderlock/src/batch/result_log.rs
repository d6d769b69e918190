//! Log that determines the order in which results are listed.
//!
//! The results of all jobs form one log of chunks. Chunk `n` is created under its number on the
//! condition that it does not exist, so if two dispatchers both believe that they lead, only one of
//! them appends it; the other reads that chunk and appends after it. The position of a result within
//! its job follows from the log alone, and is the same for every reader. A result is listed once it
//! is in a stored chunk; until then it is staged.
//!
//! Memory is bounded by the jobs that have not been removed with [`ResultLog::remove_job`].

use super::item_key::ItemKey;
use super::result_chunk::ResultChunk;
use super::sample::Sample;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;

/// The listed results, and the staged ones.
#[derive(Clone, Debug, Default)]
pub struct ResultLog {
    /// Number of the chunk that follows the last one applied.
    next_chunk_index: u64,
    listed: IndexMap<String, JobResults>,
    /// Items with a result, listed or staged.
    known: IndexSet<ItemKey>,
    staged: VecDeque<Sample>,
    /// Chunk whose write has not been confirmed.
    pending_chunk: Option<Arc<ResultChunk>>,
}

/// The listed results of a job.
#[derive(Clone, Debug)]
struct JobResults {
    /// Number of the first chunk with a result of the job.
    first_chunk: u64,
    samples: Vec<Arc<Sample>>,
}

impl ResultLog {
    /// Stages a result for listing; returns false if its item already has a result.
    pub fn stage(&mut self, sample: Sample) -> bool {
        if !self.known.insert(sample.key.clone()) {
            return false;
        }
        self.staged.push_back(sample);
        true
    }

    /// Whether an item has a result, listed or staged.
    pub fn is_known(&self, key: &ItemKey) -> bool {
        self.known.contains(key)
    }

    /// Returns the listed result of an item.
    pub fn listed_sample(&self, key: &ItemKey) -> Option<&Arc<Sample>> {
        let listed = self.listed.get(&key.job)?;
        listed
            .samples
            .iter()
            .find(|sample| sample.key.item == key.item)
    }

    /// Whether there are results that are not listed yet.
    pub fn has_unlisted(&self) -> bool {
        self.pending_chunk.is_some() || !self.staged.is_empty()
    }

    /// Returns the number of the chunk that follows the last one applied; 0 before the first.
    pub fn next_chunk_index(&self) -> u64 {
        self.next_chunk_index
    }

    /// Returns the next chunk to create, or `None` without staged results. It is the same chunk until
    /// [`ResultLog::apply`] has taken a chunk with its number, whoever wrote that.
    ///
    /// The chunk has about `max_bytes` at most, or a single result that is larger.
    pub fn next_chunk(
        &mut self,
        writer: &str,
        unix_ms: u64,
        max_bytes: usize,
    ) -> Option<Arc<ResultChunk>> {
        if self.pending_chunk.is_none() {
            let samples = self.take_staged(max_bytes);
            if samples.is_empty() {
                return None;
            }
            let index = self.next_chunk_index;
            self.pending_chunk = Some(Arc::new(ResultChunk {
                index,
                writer: format!("{writer}-{index}"),
                written_unix_ms: unix_ms,
                samples,
            }));
        }
        self.pending_chunk.clone()
    }

    fn take_staged(&mut self, max_bytes: usize) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut bytes = 0;
        while let Some(sample) = self.staged.front() {
            bytes += sample.size_bytes();
            if bytes > max_bytes && !samples.is_empty() {
                break;
            }
            samples.extend(self.staged.pop_front());
        }
        samples
    }

    /// Applies a chunk that is in the store, of any writer; returns false if it is not the next one.
    ///
    /// The first chunk may have any number, since old chunks are deleted. If another writer created
    /// the chunk with the number of the pending one, the own results are staged again, without those
    /// that the other chunk lists.
    pub fn apply(&mut self, chunk: &ResultChunk) -> bool {
        let is_first = self.next_chunk_index == 0;
        if chunk.index != self.next_chunk_index && !is_first {
            return false;
        }
        self.next_chunk_index = chunk.index + 1;
        let own = self.pending_chunk.take();
        for sample in &chunk.samples {
            self.known.insert(sample.key.clone());
            if self.listed_sample(&sample.key).is_none() {
                let listed = self.listed.entry(sample.key.job.clone());
                let listed = listed.or_insert_with(|| JobResults {
                    first_chunk: chunk.index,
                    samples: Vec::new(),
                });
                listed.samples.push(Arc::new(sample.clone()));
            }
        }
        if let Some(own) = own.filter(|own| own.writer != chunk.writer) {
            for sample in own.samples.iter().rev() {
                self.staged.push_front(sample.clone());
            }
        }
        let listed = &self.listed;
        self.staged.retain(|sample| {
            let of_job = listed.get(&sample.key.job);
            of_job.is_none_or(|all| all.samples.iter().all(|one| one.key != sample.key))
        });
        true
    }

    /// Returns the number of the first chunk that a new leader must read before it leads: this chunk
    /// and later ones hold all results of jobs that have not ended.
    ///
    /// A job counts as open unless it is in `ended`, even if this process has not read the job
    /// itself: another leader may have accepted it and listed results of it. A new leader may use a
    /// number that was recorded earlier: jobs only end, so it is too low at worst, and the leader
    /// reads more chunks than it needs.
    pub fn first_needed_chunk(&self, ended: &IndexSet<String>) -> u64 {
        let jobs = self.listed.iter();
        let open_jobs = jobs.filter(|(job, _)| !ended.contains(*job));
        let first = open_jobs.map(|(_, listed)| listed.first_chunk).min();
        first.unwrap_or(self.next_chunk_index)
    }

    /// Inserts the results of older chunks, in order, before those that are already listed.
    ///
    /// Results of jobs that `is_kept` rejects are skipped: nothing would remove them later.
    pub fn prepend(&mut self, chunks: Vec<ResultChunk>, is_kept: impl Fn(&str) -> bool) {
        let mut older: IndexMap<String, (u64, IndexMap<ItemKey, Arc<Sample>>)> = IndexMap::new();
        for chunk in chunks {
            let samples = chunk.samples.into_iter();
            for sample in samples.filter(|sample| is_kept(&sample.key.job)) {
                let of_job = older.entry(sample.key.job.clone());
                let (_, results) = of_job.or_insert_with(|| (chunk.index, IndexMap::new()));
                results
                    .entry(sample.key.clone())
                    .or_insert_with(|| Arc::new(sample));
            }
        }
        for (job, (first_chunk, mut results)) in older {
            self.known.extend(results.keys().cloned());
            let later = self.listed.swap_remove(&job);
            for sample in later.into_iter().flat_map(|listed| listed.samples) {
                results.entry(sample.key.clone()).or_insert(sample);
            }
            let samples = results.into_values().collect();
            self.listed.insert(
                job,
                JobResults {
                    first_chunk,
                    samples,
                },
            );
        }
    }

    /// Returns the listed results of a job without the first `after`: as many as fit into about
    /// `max_bytes`, or a single one that is larger. An unknown job has none.
    pub fn read(&self, job: &str, after: usize, max_bytes: usize) -> &[Arc<Sample>] {
        let listed = self.listed.get(job);
        let listed = listed.map_or(&[][..], |listed| &listed.samples);
        let rest = listed.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|sample| {
            bytes += sample.size_bytes();
            bytes <= max_bytes
        });
        let count = fitting.count().max(usize::from(!rest.is_empty()));
        &rest[..count]
    }

    /// Returns the number of listed results of a job.
    pub fn listed_count(&self, job: &str) -> usize {
        self.listed
            .get(job)
            .map_or(0, |listed| listed.samples.len())
    }

    /// Removes the results of a job, listed and staged.
    pub fn remove_job(&mut self, job: &str) {
        self.listed.swap_remove(job);
        self.known.retain(|key| key.job != job);
        self.staged.retain(|sample| sample.key.job != job);
    }
}
