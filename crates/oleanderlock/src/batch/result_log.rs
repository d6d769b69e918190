//! The order in which results are listed.
//!
//! All results of all jobs form one log of chunks. Chunk `n` is created under its number on the
//! condition that it does not exist, so of two dispatchers that both believe to lead only one
//! appends it; the other reads it and goes on behind it. The position of a result within its job
//! follows from the log alone, and is the same for every reader.
//!
//! Bounded by the jobs that are kept; [`ResultLog::remove_job`] drops one.

use super::item_key::ItemKey;
use super::result_chunk::ResultChunk;
use super::sample::Sample;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;

/// The listed results, and those that wait to be listed.
#[derive(Clone, Debug, Default)]
pub struct ResultLog {
    next_index: u64,
    listed: IndexMap<String, JobResults>,
    known: IndexSet<ItemKey>,
    staged: VecDeque<Sample>,
    pending_chunk: Option<Arc<ResultChunk>>,
}

/// The listed results of a job.
#[derive(Clone, Debug)]
struct JobResults {
    /// Number of the first chunk that holds one.
    first_chunk: u64,
    samples: Vec<Arc<Sample>>,
}

impl ResultLog {
    /// Takes a result that is to be listed; returns false when its item has one already.
    pub fn stage(&mut self, sample: Sample) -> bool {
        if !self.known.insert(sample.key.clone()) {
            return false;
        }
        self.staged.push_back(sample);
        true
    }

    /// Whether an item has a result, listed or about to be.
    pub fn is_known(&self, key: &ItemKey) -> bool {
        self.known.contains(key)
    }

    /// Returns a listed result of an item.
    pub fn listed_sample(&self, key: &ItemKey) -> Option<&Arc<Sample>> {
        let listed = self.listed.get(&key.job)?;
        listed
            .samples
            .iter()
            .find(|sample| sample.key.item == key.item)
    }

    /// Whether results wait to be listed.
    pub fn has_unlisted(&self) -> bool {
        self.pending_chunk.is_some() || !self.staged.is_empty()
    }

    /// Returns the number of the chunk that comes next.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns the chunk to create next, of at most about `max_bytes`; the same one again until
    /// [`ResultLog::apply`] has seen a chunk with its number.
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
            let index = self.next_index;
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
            bytes += sample.size();
            if bytes > max_bytes && !samples.is_empty() {
                break;
            }
            samples.extend(self.staged.pop_front());
        }
        samples
    }

    /// Takes a chunk that stands in the store, own or another's; returns false when it is not the
    /// next one.
    ///
    /// The first chunk may have any number, since old chunks are deleted.
    ///
    /// Own results whose number another writer took wait again, without those that it listed.
    pub fn apply(&mut self, chunk: &ResultChunk) -> bool {
        let is_first = self.next_index == 0;
        if chunk.index != self.next_index && !is_first {
            return false;
        }
        self.next_index = chunk.index + 1;
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

    /// Returns the number of the first chunk that a new leader must read before it leads: all
    /// results of jobs that have not ended stand in this one or behind it.
    ///
    /// Jobs of which this log holds results count even if they are not known otherwise, since a
    /// job may be listed by another leader before it is known here. An older answer is too low at
    /// worst, since a job that has ended never goes on.
    pub fn needed_from(&self, ended: &IndexSet<String>) -> u64 {
        let jobs = self.listed.iter();
        let open_jobs = jobs.filter(|(job, _)| !ended.contains(*job));
        let first = open_jobs.map(|(_, listed)| listed.first_chunk).min();
        first.unwrap_or(self.next_index)
    }

    /// Puts the results of older chunks, in their order, before those that were taken already.
    /// Those of jobs that are not kept any more are left out; they would never be forgotten.
    pub fn prepend(&mut self, chunks: Vec<ResultChunk>, is_kept: impl Fn(&str) -> bool) {
        let mut older: IndexMap<String, (u64, IndexMap<ItemKey, Arc<Sample>>)> = IndexMap::new();
        for chunk in chunks {
            let kept = chunk.samples.into_iter();
            for sample in kept.filter(|sample| is_kept(&sample.key.job)) {
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

    /// Returns the results of a job from position `after` on, of at most about `max_bytes`, but
    /// at least one if there is one.
    pub fn read(&self, job: &str, after: usize, max_bytes: usize) -> &[Arc<Sample>] {
        let listed = self.listed.get(job);
        let listed = listed.map_or(&[][..], |listed| &listed.samples);
        let rest = listed.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|sample| {
            bytes += sample.size();
            bytes <= max_bytes
        });
        let count = fitting.count().max(usize::from(!rest.is_empty()));
        &rest[..count]
    }

    /// Returns how many results of a job are listed.
    pub fn listed_count(&self, job: &str) -> usize {
        self.listed
            .get(job)
            .map_or(0, |listed| listed.samples.len())
    }

    /// Drops the results of a job.
    pub fn remove_job(&mut self, job: &str) {
        self.listed.swap_remove(job);
        self.known.retain(|key| key.job != job);
        self.staged.retain(|sample| sample.key.job != job);
    }
}
