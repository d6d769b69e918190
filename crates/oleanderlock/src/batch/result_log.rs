//! Log that determines the order in which results are listed.
//!
//! The results of all jobs form one log of chunks. Chunk `n` is created under its number on the
//! condition that it does not exist, so if two dispatchers both believe that they lead, only one of
//! them appends it; the other reads that chunk and appends after it. The position of a result within
//! its job follows from the log alone, and is the same for every reader. A result is listed once it
//! is in a stored chunk; until then it is staged.
//!
//! The texts of listed results are kept up to a budget, the newest ones; the others are read again from
//! their chunks. All other memory is bounded by the items of the jobs that have not been removed with
//! [`ResultLog::remove_job`].

use super::item_key::ItemKey;
use super::listed_result::ListedResult;
use super::result_chunk::ResultChunk;
use super::sample::Sample;
use indexmap::map::Slice;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;

/// The listed results, and the staged ones.
#[derive(Clone, Debug, Default)]
pub struct ResultLog {
    /// Number of the chunk that follows the last one applied.
    next_chunk_index: u64,
    listed: IndexMap<String, JobResults>,
    /// Items with a result, listed or staged, by job.
    known: IndexMap<String, IndexSet<String>>,
    staged: VecDeque<Sample>,
    /// Number of listed results in each chunk that has any.
    results_by_chunk: IndexMap<u64, usize>,
    /// Chunk whose write has not been confirmed.
    pending_chunk: Option<Arc<ResultChunk>>,
    /// Items whose listed results are in memory, those that were loaded first at the front; also items of
    /// removed jobs, at most as many.
    loaded: VecDeque<ItemKey>,
    /// Number of items of removed jobs in `loaded`.
    loaded_removed: usize,
    /// Size of the listed results that are in memory, in bytes.
    loaded_bytes: usize,
    /// Most bytes of listed results that are kept in memory; `None` for all.
    budget_bytes: Option<usize>,
}

/// The listed results of a job.
#[derive(Clone, Debug)]
struct JobResults {
    /// Number of the first chunk with a result of the job.
    first_chunk: u64,
    /// Results by item, in the order of the log.
    results: IndexMap<String, ListedResult>,
}

impl ResultLog {
    /// Creates an empty log that keeps at most about `budget_bytes` of listed results in memory.
    pub fn with_budget(budget_bytes: usize) -> Self {
        Self {
            budget_bytes: Some(budget_bytes),
            ..Self::default()
        }
    }

    /// Stages a result for listing; returns false if its item already has a result.
    pub fn stage(&mut self, sample: Sample) -> bool {
        if !self.know(&sample.key) {
            return false;
        }
        self.staged.push_back(sample);
        true
    }

    /// Records that an item has a result; returns whether it had none.
    fn know(&mut self, key: &ItemKey) -> bool {
        if let Some(of_job) = self.known.get_mut(&key.job) {
            return of_job.insert(key.item.clone());
        }
        let of_job = IndexSet::from([key.item.clone()]);
        self.known.insert(key.job.clone(), of_job);
        true
    }

    /// Whether an item has a result, listed or staged.
    pub fn is_known(&self, key: &ItemKey) -> bool {
        let of_job = self.known.get(&key.job);
        of_job.is_some_and(|of_job| of_job.contains(&key.item))
    }

    /// Whether the result of an item is listed.
    pub fn is_listed(&self, key: &ItemKey) -> bool {
        let of_job = self.listed.get(&key.job);
        of_job.is_some_and(|of_job| of_job.results.contains_key(&key.item))
    }

    /// Returns the size of the listed results that are in memory, in bytes.
    pub fn loaded_bytes(&self) -> usize {
        self.loaded_bytes
    }

    /// Takes the results of a stored chunk back into memory, those that are listed from it.
    pub fn reload(&mut self, chunk: &ResultChunk) {
        for sample in &chunk.samples {
            let of_job = self.listed.get_mut(&sample.key.job);
            let listed = of_job.and_then(|of_job| of_job.results.get_mut(&sample.key.item));
            if let Some(listed) = listed
                && listed.chunk == chunk.index
                && listed.sample.is_none()
            {
                listed.sample = Some(Arc::new(sample.clone()));
                self.loaded_bytes += listed.bytes;
                self.loaded.push_back(sample.key.clone());
            }
        }
        self.keep_budget();
    }

    /// Removes the results that were loaded first from memory until the rest is within the budget. The
    /// last one stays, so that each can be read.
    fn keep_budget(&mut self) {
        let Some(budget) = self.budget_bytes else {
            return;
        };
        while self.loaded_bytes > budget && self.loaded.len() > 1 {
            let Some(key) = self.loaded.pop_front() else {
                return;
            };
            let Some(of_job) = self.listed.get_mut(&key.job) else {
                // An item that two parts of the log list is in `loaded` twice, but counted once.
                self.loaded_removed = self.loaded_removed.saturating_sub(1);
                continue;
            };
            let listed = of_job.results.get_mut(&key.item);
            if let Some(listed) = listed.filter(|listed| listed.sample.is_some()) {
                listed.sample = None;
                self.loaded_bytes -= listed.bytes;
            }
        }
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
            self.know(&sample.key);
            if !self.is_listed(&sample.key) {
                let listed = self.listed.entry(sample.key.job.clone());
                let listed = listed.or_insert_with(|| JobResults {
                    first_chunk: chunk.index,
                    results: IndexMap::new(),
                });
                let result = ListedResult::new(chunk.index, sample);
                self.loaded_bytes += result.bytes;
                self.loaded.push_back(sample.key.clone());
                listed.results.insert(sample.key.item.clone(), result);
                *self.results_by_chunk.entry(chunk.index).or_default() += 1;
            }
        }
        self.keep_budget();
        if let Some(own) = own.filter(|own| own.writer != chunk.writer) {
            for sample in own.samples.iter().rev() {
                self.staged.push_front(sample.clone());
            }
        }
        let listed = &self.listed;
        self.staged.retain(|sample| {
            let of_job = listed.get(&sample.key.job);
            of_job.is_none_or(|of_job| !of_job.results.contains_key(&sample.key.item))
        });
        true
    }

    /// Makes chunk number `index` the next one, if it is later than that: those between are gone, and none
    /// of their results need be readable.
    pub fn skip_to(&mut self, index: u64) {
        self.next_chunk_index = self.next_chunk_index.max(index);
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

    /// Returns the jobs that have listed results, each with the number of the first chunk that holds one.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, u64)> {
        let jobs = self.listed.iter();
        jobs.map(|(job, listed)| (job.as_str(), listed.first_chunk))
    }

    /// Whether a chunk holds a listed result of a job that has not been removed; the others are needed by
    /// nobody.
    pub fn is_needed(&self, chunk: u64) -> bool {
        self.results_by_chunk.contains_key(&chunk)
    }

    /// Records that a result listed from a chunk is no longer needed.
    fn release_chunk(&mut self, chunk: u64) {
        if let Some(results) = self.results_by_chunk.get_mut(&chunk) {
            *results -= 1;
            if *results == 0 {
                self.results_by_chunk.swap_remove(&chunk);
            }
        }
    }

    /// Inserts the results of an older part of the log, in order, before those that are already listed.
    ///
    /// Results of jobs that `is_kept` rejects are skipped: nothing would remove them later.
    pub fn prepend(&mut self, mut older: ResultLog, is_kept: impl Fn(&str) -> bool) {
        let jobs: Vec<String> = older.listed.keys().cloned().collect();
        for job in jobs.iter().filter(|job| !is_kept(job)) {
            older.remove_job(job);
        }
        for (chunk, results) in older.results_by_chunk {
            *self.results_by_chunk.entry(chunk).or_default() += results;
        }
        for (job, mut of_job) in older.listed {
            let later = self.listed.swap_remove(&job);
            for (item, result) in later.into_iter().flat_map(|later| later.results) {
                if !of_job.results.contains_key(&item) {
                    of_job.results.insert(item, result);
                    continue;
                }
                // The older one counts; the later copy leaves the memory.
                if result.sample.is_some() {
                    self.loaded_bytes -= result.bytes;
                }
                self.release_chunk(result.chunk);
            }
            self.listed.insert(job, of_job);
        }
        for (job, items) in older.known {
            self.known.entry(job).or_default().extend(items);
        }
        self.loaded_bytes += older.loaded_bytes;
        self.loaded_removed += older.loaded_removed;
        // Older results leave the memory first.
        older.loaded.append(&mut self.loaded);
        self.loaded = older.loaded;
        self.keep_budget();
    }

    /// Returns the listed results of a job without the first `after`: as many as fit into about
    /// `max_bytes`, or a single one that is larger, and none from the first one on that is not in memory. An
    /// unknown job has none.
    pub fn read(&self, job: &str, after: usize, max_bytes: usize) -> Vec<Arc<Sample>> {
        let page = self.page(job, after, max_bytes).values();
        page.map_while(|result| result.sample.clone()).collect()
    }

    /// Returns the numbers of the chunks that must be [reloaded](Self::reload) before
    /// [`read`](Self::read) returns all results that fit.
    pub fn missing_chunks(&self, job: &str, after: usize, max_bytes: usize) -> Vec<u64> {
        let page = self.page(job, after, max_bytes).values();
        let missing = page.filter(|result| result.sample.is_none());
        let mut chunks: Vec<u64> = missing.map(|result| result.chunk).collect();
        chunks.sort_unstable();
        chunks.dedup();
        chunks
    }

    fn page(&self, job: &str, after: usize, max_bytes: usize) -> &Slice<String, ListedResult> {
        let listed = self.listed.get(job);
        let rest = listed.and_then(|listed| listed.results.get_range(after..));
        let rest = rest.unwrap_or_default();
        let mut bytes = 0;
        let fitting = rest.values().take_while(|result| {
            bytes += result.bytes;
            bytes <= max_bytes
        });
        let count = fitting.count().max(usize::from(!rest.is_empty()));
        rest.get_range(..count).unwrap_or_default()
    }

    /// Returns the number of listed results of a job.
    pub fn listed_count(&self, job: &str) -> usize {
        self.listed
            .get(job)
            .map_or(0, |listed| listed.results.len())
    }

    /// Removes the results of a job, listed and staged.
    pub fn remove_job(&mut self, job: &str) {
        if let Some(removed) = self.listed.swap_remove(job) {
            for result in removed.results.values() {
                if result.sample.is_some() {
                    self.loaded_bytes -= result.bytes;
                    self.loaded_removed += 1;
                }
                self.release_chunk(result.chunk);
            }
            // Searching them for each job would cost more the more results are kept.
            if self.loaded_removed * 2 > self.loaded.len() {
                let listed = &self.listed;
                self.loaded.retain(|key| listed.contains_key(&key.job));
                self.loaded_removed = 0;
            }
        }
        self.known.swap_remove(job);
        self.staged.retain(|sample| sample.key.job != job);
    }
}
