//! Items of an agent and state of its engine.

use super::held_item::HeldItem;
use crate::peer::messages::ReturnedItem;
use crate::prelude::*;
use indexmap::IndexMap;
use oleander_platform::engine_report::EngineReport;
use oleanderlock::batch::event_pace::EventPace;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::sample::Sample;
use oleanderlock::routing::own_entry::OwnEntry;

/// Age after which a report no longer shows that the engine is running.
const REPORT_MAX_AGE: Millis = Millis(1500);

/// Assumed mean length of runs before the first one has ended.
const MEAN_RUN_DEFAULT: Millis = Millis(2000);
/// The newest run counts one part in this many in the mean length.
const MEAN_RUN_WEIGHT: u64 = 8;

/// Items of an agent and state of its engine.
#[derive(Debug)]
pub struct State {
    /// Items that wait or run, by `JOB/ITEM`.
    pub items: IndexMap<String, HeldItem>,
    /// Results that the dispatcher has not listed yet, by `JOB/ITEM`.
    pub samples: IndexMap<String, Sample>,
    /// Items to return to the dispatcher without a result, by `JOB/ITEM`.
    pub returned: IndexMap<String, ReturnedItem>,
    /// The engine's last report, and when it was received.
    pub engine: Option<(EngineReport, Millis)>,
    /// What the engine has said about the entries at its address.
    pub own_entry: OwnEntry,
    /// Model whose weights are being loaded.
    pub loading: Option<String>,
    /// Pace of the engine.
    pub pace: EventPace,
    /// Moving average of the length of runs.
    pub mean_run: Millis,
}

impl Default for State {
    fn default() -> Self {
        Self {
            items: IndexMap::new(),
            samples: IndexMap::new(),
            returned: IndexMap::new(),
            engine: None,
            own_entry: OwnEntry::default(),
            loading: None,
            pace: EventPace::default(),
            mean_run: MEAN_RUN_DEFAULT,
        }
    }
}

impl State {
    /// Records the length of a run.
    pub fn record_run(&mut self, length: Millis) {
        let sum = self.mean_run.0 * (MEAN_RUN_WEIGHT - 1) + length.0;
        self.mean_run = Millis(sum / MEAN_RUN_WEIGHT);
    }

    /// Returns the engine's last report, unless it is too old.
    pub fn fresh_report(&self) -> Option<&EngineReport> {
        let (report, at) = self.engine.as_ref()?;
        (now().since(*at) < REPORT_MAX_AGE).then_some(report)
    }

    /// Returns the weight version of a model on the engine; `None` when not known.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.fresh_report()?.weights.get(model).copied()
    }

    /// Returns the number of items that are running.
    pub fn running(&self) -> usize {
        self.items
            .values()
            .filter(|item| item.run.is_some())
            .count()
    }

    /// Returns the progress of long runs that the leader does not know yet.
    pub fn unreported_parts(&self) -> Vec<RunPart> {
        let held = self.items.values();
        held.filter_map(HeldItem::unreported_part).collect()
    }

    /// Records that the leader has accepted parts of runs.
    pub fn mark_reported(&mut self, parts: &[RunPart]) {
        for part in parts {
            if let Some(item) = self.items.get_mut(&part.key.to_string()) {
                item.reported.record(part);
            }
        }
    }

    /// Stores the progress of the present run of an item: either none, or one that goes on where what
    /// is stored ends, so that only the new part is copied.
    pub fn set_progress(&mut self, key: &ItemKey, progress: &Progress) {
        let Some(item) = self.items.get_mut(&key.to_string()) else {
            return;
        };
        match &mut item.work.progress {
            Some(stored) if progress.last_event > 0 => extend_progress(stored, progress),
            stored => *stored = (progress.last_event > 0).then(|| progress.clone()),
        }
    }

    /// Makes the next report contain the whole progress of a run.
    pub fn resend_full(&mut self, name: &str) {
        if let Some(item) = self.items.get_mut(name) {
            item.reported.forget();
        }
    }

    /// Removes an item, its result or its return, and cancels its run; returns whether there was
    /// one.
    pub fn remove_item(&mut self, name: &str) -> bool {
        let was_held = self.items.shift_remove(name).is_some();
        let had_result = self.samples.shift_remove(name).is_some();
        let was_returned = self.returned.shift_remove(name).is_some();
        was_held || had_result || was_returned
    }

    /// Ends an item with a result.
    pub fn finish(&mut self, sample: Sample) {
        let name = sample.key.to_string();
        if let Some(mut item) = self.items.shift_remove(&name) {
            // Detached, because the run itself calls this function: dropping the handle would
            // cancel it.
            if let Some(run) = item.run.take() {
                run.detach();
            }
            self.samples.insert(name, sample);
        }
    }

    /// Ends an item without a result, to be returned to the dispatcher.
    pub fn return_item(&mut self, item: ReturnedItem) {
        let name = item.key.to_string();
        if let Some(mut held) = self.items.shift_remove(&name) {
            if let Some(run) = held.run.take() {
                run.detach();
            }
            self.returned.insert(name, item);
        }
    }

    /// Removes a return that the leader has taken; one of a later run of the item stays.
    pub fn remove_return(&mut self, name: &str, id: u64) {
        if self.returned.get(name).is_some_and(|item| item.id == id) {
            self.returned.shift_remove(name);
        }
    }

    /// Returns the names of all items that the agent has to run, report or return, as `JOB/ITEM`.
    pub fn item_names(&self) -> Vec<String> {
        let held = self.items.keys().chain(self.samples.keys());
        held.chain(self.returned.keys()).cloned().collect()
    }

    /// Returns the keys of the items that wait for a slot, those with the most expected tokens
    /// first.
    pub fn waiting(&self) -> Vec<ItemKey> {
        let waiting = self.items.values().filter(|item| item.run.is_none());
        let mut waiting: Vec<&HeldItem> = waiting.collect();
        waiting.sort_by_key(|item| std::cmp::Reverse(item.work.item.expected_tokens));
        waiting
            .into_iter()
            .map(|item| item.work.key.clone())
            .collect()
    }
}

/// Copies to `stored` what `progress` has beyond it.
fn extend_progress(stored: &mut Progress, progress: &Progress) {
    let text = progress.text.get(stored.text.len()..);
    let versions = progress.versions.get(stored.versions.len()..);
    match (text, versions) {
        (Some(text), Some(versions)) if stored.software == progress.software => {
            stored.text.push_str(text);
            stored.versions.extend_from_slice(versions);
            stored.last_event = progress.last_event;
        }
        _ => stored.clone_from(progress),
    }
}
