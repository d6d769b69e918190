//! Checkpoints of runs, and the stored pages that preserve them across restarts.
//!
//! A run is one execution of an item by an engine, and its checkpoint is the output so far. Model
//! weights are not part of it.
//!
//! Failures that this guards against: all dispatchers and agents restart at once, or one agent
//! does, while the longest runs of a training step are seconds from completion. If they started
//! over, the step would miss its deadline; from a checkpoint they lose about a second.
//!
//! A checkpoint is used only if its run has certainly ended: its agent has reported from another
//! process, or without the run. Pages overwrite each other in a ring, so a run is written in full
//! again before the page with its first events is overwritten. A page that is lost or written late
//! can make a checkpoint shorter but never wrong: parts are joined only if they are consecutive
//! parts of the same run.
//!
//! Memory is bounded by the runs that agents report.

use super::agent_report::AgentReport;
use super::checkpoint::Checkpoint;
use super::checkpoint_page::CheckpointPage;
use super::item_key::ItemKey;
use super::progress::Progress;
use super::run_part::RunPart;
use super::runner::Runner;
use indexmap::IndexMap;

/// Number of pages in the ring. At one page per second it covers the longest run of a step.
pub const PAGE_SLOTS: u64 = 8;

/// A checkpoint and the prefix of it that is stored.
#[derive(Clone, Debug)]
struct Entry {
    checkpoint: Checkpoint,
    written: Option<WrittenPrefix>,
}

/// The prefix of a checkpoint that is stored in pages.
#[derive(Clone, Copy, Debug)]
struct WrittenPrefix {
    last_event: u64,
    bytes: usize,
    /// Number of the page that holds the first events of the run.
    first_page: u64,
}

/// Change to an entry once the pending page is confirmed.
#[derive(Clone, Debug)]
struct PendingWrite {
    key: ItemKey,
    run: u64,
    written: WrittenPrefix,
}

/// Checkpoints of runs, and what of them is stored.
#[derive(Clone, Debug, Default)]
pub struct CheckpointLog {
    entries: IndexMap<ItemKey, Entry>,
    next_page_number: u64,
    pending: Vec<PendingWrite>,
}

impl CheckpointLog {
    /// Adds a part that an agent reported; returns false if earlier events are missing, so that the
    /// agent must send the run from its first event.
    ///
    /// A part that starts with the first event replaces the checkpoint of an earlier run.
    pub fn append(&mut self, runner: Runner, part: RunPart) -> bool {
        if let Some(entry) = self.entries.get_mut(&part.key)
            && entry.checkpoint.runner == runner
            && entry.checkpoint.append(&part)
        {
            return true;
        }
        let key = part.key.clone();
        let Some(checkpoint) = Checkpoint::begin(runner, part) else {
            return false;
        };
        let entry = Entry {
            checkpoint,
            written: None,
        };
        self.entries.insert(key, entry);
        true
    }

    /// Returns the items whose checkpoint is of a run on the reporting agent that has ended: the
    /// report is from another process or lacks the item.
    pub fn ended_runs(&self, report: &AgentReport) -> Vec<ItemKey> {
        let is_running = |key: &ItemKey, runner: &Runner| {
            runner.process == report.process && report.items.contains(&key.to_string())
        };
        let of_agent = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.checkpoint.runner.agent == report.agent);
        let ended = of_agent.filter(|(key, entry)| !is_running(key, &entry.checkpoint.runner));
        ended.map(|(key, _)| key.clone()).collect()
    }

    /// Removes the checkpoint of an item and returns its progress.
    pub fn remove(&mut self, key: &ItemKey) -> Option<Progress> {
        let entry = self.entries.swap_remove(key)?;
        Some(entry.checkpoint.progress)
    }

    /// Removes the checkpoints of an agent that no longer reports: its runs may continue unobserved.
    pub fn remove_agent(&mut self, agent: &str) {
        self.entries
            .retain(|_, entry| entry.checkpoint.runner.agent != agent);
    }

    /// Removes the checkpoints of a job.
    pub fn remove_job(&mut self, job: &str) {
        self.entries.retain(|key, _| key.job != job);
    }

    /// Returns the items that have a checkpoint, each with its progress.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemKey, &Progress)> {
        let all = self.entries.iter();
        all.map(|(key, entry)| (key, &entry.checkpoint.progress))
    }

    /// Returns the next page to write, or `None` if everything is stored.
    ///
    /// The page has about `max_bytes` at most, or a single part that is larger. Its content is rebuilt
    /// by each call until [`CheckpointLog::confirm_page`].
    pub fn next_page(&mut self, epoch: u64, max_bytes: usize) -> Option<CheckpointPage> {
        let number = self.next_page_number;
        let mut parts = Vec::new();
        let mut bytes = 0;
        self.pending.clear();
        for (key, entry) in &self.entries {
            let Some((part, written)) = entry.next_part(key, number) else {
                continue;
            };
            bytes += part.text.len() + PART_OVERHEAD_BYTES;
            if bytes > max_bytes && !parts.is_empty() {
                break;
            }
            self.pending.push(PendingWrite {
                key: key.clone(),
                run: part.run,
                written,
            });
            parts.push((entry.checkpoint.runner.clone(), part));
        }
        (!parts.is_empty()).then_some(CheckpointPage {
            epoch,
            number,
            parts,
        })
    }

    /// Confirms that the page returned last has been written.
    pub fn confirm_page(&mut self) {
        self.next_page_number += 1;
        for write in std::mem::take(&mut self.pending) {
            if let Some(entry) = self.entries.get_mut(&write.key)
                && entry.checkpoint.run == write.run
            {
                entry.written = Some(write.written);
            }
        }
    }

    /// Rebuilds checkpoints from pages in any order, for the items that `is_wanted` accepts.
    pub fn restore(mut pages: Vec<CheckpointPage>, is_wanted: impl Fn(&ItemKey) -> bool) -> Self {
        pages.sort_by_key(|page| (page.epoch, page.number));
        let mut log = Self::default();
        let parts = pages.into_iter().flat_map(|page| page.parts);
        for (runner, part) in parts.filter(|(_, part)| is_wanted(&part.key)) {
            log.append(runner, part);
        }
        log
    }
}

/// Approximate bytes of names and versions that a part takes besides its text.
const PART_OVERHEAD_BYTES: usize = 200;

impl Entry {
    /// Returns the part to write into page number `page` and the prefix that is stored afterwards;
    /// `None` if nothing is to be written.
    fn next_part(&self, key: &ItemKey, page: u64) -> Option<(RunPart, WrittenPrefix)> {
        let Checkpoint { run, progress, .. } = &self.checkpoint;
        let still_stored = self
            .written
            .filter(|written| page < written.first_page + PAGE_SLOTS - 1);
        let (after_event, from_byte, first_page) = match still_stored {
            Some(written) => (written.last_event, written.bytes, written.first_page),
            None => (0, 0, page),
        };
        if after_event == progress.last_event {
            return None;
        }
        let part = RunPart {
            key: key.clone(),
            run: *run,
            after_event,
            last_event: progress.last_event,
            text: progress.text[from_byte..].to_owned(),
            versions: progress.versions.clone(),
            software: progress.software.clone(),
        };
        let written = WrittenPrefix {
            last_event: progress.last_event,
            bytes: progress.text.len(),
            first_page,
        };
        Some((part, written))
    }
}
