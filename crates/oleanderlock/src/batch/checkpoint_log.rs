//! Checkpoints of runs, and the pages in which they last.
//!
//! Load pattern: all processes end at once, or one agent does, while the longest runs of each step
//! are seconds from their end. Begun anew they would make the step miss its deadline; from a
//! checkpoint they lose about a second.
//!
//! A checkpoint is used only when the run that it is of is over for sure: its agent has reported
//! from another process, or without the run. Pages overwrite each other in a ring, so a run is
//! written whole again before the page with its first events is. A page that is lost or comes late
//! leaves a checkpoint shorter, never wrong: parts are joined only if they follow in the same run.
//!
//! Bounded by the runs that agents tell of.

use super::agent_report::AgentReport;
use super::checkpoint::Checkpoint;
use super::checkpoint_page::CheckpointPage;
use super::item_key::ItemKey;
use super::progress::Progress;
use super::run_part::RunPart;
use super::runner::Runner;
use indexmap::IndexMap;

/// Pages of the ring. At one page a second the longest run of a step fits.
pub const PAGE_SLOTS: u64 = 8;

/// A checkpoint and how much of it is in the pages.
#[derive(Clone, Debug)]
struct Entry {
    checkpoint: Checkpoint,
    written: Option<WrittenPrefix>,
}

/// How much of a checkpoint is in the pages.
#[derive(Clone, Copy, Debug)]
struct WrittenPrefix {
    last_event: u64,
    bytes: usize,
    // Page that holds its first events.
    first_page: u64,
}

/// What becomes of the log when a page has been written.
#[derive(Clone, Debug)]
struct PendingWrite {
    key: ItemKey,
    run: u64,
    written: WrittenPrefix,
}

/// Checkpoints of runs, and the pages in which they last.
#[derive(Clone, Debug, Default)]
pub struct CheckpointLog {
    entries: IndexMap<ItemKey, Entry>,
    next_page_number: u64,
    pending: Vec<PendingWrite>,
}

impl CheckpointLog {
    /// Takes a part that an agent told; returns false when the agent must tell the whole run.
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

    /// Returns the items with a checkpoint of an agent's run that is over, as its report shows.
    pub fn ended_runs(&self, report: &AgentReport) -> Vec<ItemKey> {
        let is_running = |key: &ItemKey, runner: &Runner| {
            runner.process == report.process && report.items.contains(&key.to_string())
        };
        let of_agent = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.checkpoint.runner.agent == report.agent);
        let over = of_agent.filter(|(key, entry)| !is_running(key, &entry.checkpoint.runner));
        over.map(|(key, _)| key.clone()).collect()
    }

    /// Takes the checkpoint of an item out.
    pub fn remove(&mut self, key: &ItemKey) -> Option<Progress> {
        let entry = self.entries.swap_remove(key)?;
        Some(entry.checkpoint.progress)
    }

    /// Drops the checkpoints of an agent whose runs may go on unseen.
    pub fn remove_agent(&mut self, agent: &str) {
        self.entries
            .retain(|_, entry| entry.checkpoint.runner.agent != agent);
    }

    /// Drops the checkpoints of a job.
    pub fn remove_job(&mut self, job: &str) {
        self.entries.retain(|key, _| key.job != job);
    }

    /// Returns the items that have a checkpoint, with what was made of them.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemKey, &Progress)> {
        let all = self.entries.iter();
        all.map(|(key, entry)| (key, &entry.checkpoint.progress))
    }

    /// Returns the page to write next, of at most about `max_bytes`, unless all is written.
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

    /// Notes that the page which was asked for last has been written.
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

    /// Rebuilds the checkpoints of the items that `is_wanted` names from pages, in any order.
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

/// Bytes of names and versions around the text of a written part.
const PART_OVERHEAD_BYTES: usize = 200;

impl Entry {
    /// What is to be written of it in a page, and how much is then.
    fn next_part(&self, key: &ItemKey, page: u64) -> Option<(RunPart, WrittenPrefix)> {
        let Checkpoint { run, progress, .. } = &self.checkpoint;
        let begun = self
            .written
            .filter(|written| page < written.first_page + PAGE_SLOTS - 1);
        let (after_event, from, first_page) = match begun {
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
            text: progress.text[from..].to_owned(),
            versions: progress.versions.clone(),
        };
        let written = WrittenPrefix {
            last_event: progress.last_event,
            bytes: progress.text.len(),
            first_page,
        };
        Some((part, written))
    }
}
