//! What an agent knows.

use crate::peer::messages::{ReturnedItem, WorkItem};
use crate::prelude::*;
use indexmap::IndexMap;
use oleander_platform::engine_report::EngineReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::sample::Sample;
use smol::Task;

/// Weight of the newest time between two events in their mean, in parts of 16.
const PACE_NEW_SIXTEENTHS: u64 = 1;
/// Age at which the pace of past runs says nothing of the engine's pace now.
const PACE_FRESH: Millis = Millis(4000);
/// Age at which the engine's report no longer says that the engine is there.
const REPORT_FRESH: Millis = Millis(1500);

/// Events from which on the leader is told of a run; most runs end before.
const LONG_EVENTS: u64 = 16;
/// Fewest new events of which the leader is told.
const TELL_EVENTS: u64 = 8;

/// An item that the agent has.
#[derive(Debug)]
pub struct HeldItem {
    /// What to run.
    pub work: WorkItem,
    /// The run; dropping it closes its connection.
    pub run: Option<Task<()>>,
    /// How much of it the leader was told.
    pub told: Told,
}

/// How much of a run the leader was told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Number of the run; 0 before it begins.
    pub run: u64,
    /// Id of the last event.
    pub last_event: u64,
    /// Bytes of the text.
    pub bytes: usize,
}

impl HeldItem {
    /// An item that waits for a slot.
    pub fn waiting(work: WorkItem) -> Self {
        Self {
            work,
            run: None,
            told: Told::default(),
        }
    }

    /// What the run has made that the leader was not told, if it is worth telling.
    fn part(&self) -> Option<RunPart> {
        let progress = self.work.progress.as_ref()?;
        let new = progress.last_event - self.told.last_event;
        if self.run.is_none() || progress.last_event < LONG_EVENTS || new < TELL_EVENTS {
            return None;
        }
        Some(RunPart {
            key: self.work.key.clone(),
            run: self.told.run,
            after_event: self.told.last_event,
            last_event: progress.last_event,
            text: progress.text[self.told.bytes..].to_owned(),
            versions: progress.versions.clone(),
        })
    }
}

/// What an agent knows.
#[derive(Debug, Default)]
pub struct State {
    /// Items that wait or run, by `JOB/ITEM`.
    pub items: IndexMap<String, HeldItem>,
    /// Results that the dispatcher has not listed yet.
    pub samples: IndexMap<String, Sample>,
    /// Items to give back.
    pub returned: IndexMap<String, ReturnedItem>,
    /// The engine's last report, and when it came.
    pub engine: Option<(EngineReport, Millis)>,
    /// Instance of the list that another one has replaced at the engine's address, as that one
    /// said; the list lags behind.
    pub replaced_instance: Option<String>,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Mean time between two events of a run, in microseconds; 0 when not known.
    pub event_us: u64,
    /// When the last event of any run came.
    pub event_at: Millis,
    /// Digest of the endpoints that the leader told; 0 for none.
    pub endpoints_digest: u64,
}

impl State {
    /// Returns the engine's report, if it is fresh.
    pub fn engine_now(&self) -> Option<&EngineReport> {
        let (report, at) = self.engine.as_ref()?;
        (now().since(*at) < REPORT_FRESH).then_some(report)
    }

    /// Returns the version of a model's weights on the engine.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.engine_now()?.weights.get(model).copied()
    }

    /// Returns the number of runs.
    pub fn running(&self) -> usize {
        self.items
            .values()
            .filter(|item| item.run.is_some())
            .count()
    }

    /// Notes the time between two events.
    pub fn saw_event_after(&mut self, length: Millis) {
        let us = length.0.saturating_mul(1000);
        let old = self.event_us;
        let stale = now().since(std::mem::replace(&mut self.event_at, now())) > PACE_FRESH;
        self.event_us = if old == 0 || stale {
            us
        } else {
            (old * (16 - PACE_NEW_SIXTEENTHS) + us * PACE_NEW_SIXTEENTHS) / 16
        };
    }

    /// Returns the mean time between two events, or 0 when no run showed it lately.
    pub fn pace_now(&self) -> u64 {
        if now().since(self.event_at) > PACE_FRESH {
            return 0;
        }
        self.event_us
    }

    /// Returns what the long runs have made that the leader was not told.
    pub fn parts(&self) -> Vec<RunPart> {
        let held = self.items.values();
        held.filter_map(HeldItem::part).collect()
    }

    /// Notes that the leader has taken parts of runs.
    pub fn told(&mut self, parts: &[RunPart]) {
        for part in parts {
            let item = self.items.get_mut(&part.key.to_string());
            if let Some(told) = item.map(|item| &mut item.told)
                && told.run == part.run
            {
                told.last_event = part.last_event;
                told.bytes += part.text.len();
            }
        }
    }

    /// Notes that the leader must be told of a run as a whole.
    pub fn tell_whole(&mut self, name: &str) {
        if let Some(item) = self.items.get_mut(name) {
            item.told.last_event = 0;
            item.told.bytes = 0;
        }
    }

    /// Takes an item out; its run is cancelled.
    pub fn drop_item(&mut self, name: &str) -> bool {
        let held = self.items.shift_remove(name).is_some();
        let done = self.samples.shift_remove(name).is_some();
        let returned = self.returned.shift_remove(name).is_some();
        held || done || returned
    }

    /// Ends an item with a result.
    pub fn finish(&mut self, sample: Sample) {
        let name = sample.key.to_string();
        if let Some(mut item) = self.items.shift_remove(&name) {
            // The run that calls this ends by itself.
            if let Some(run) = item.run.take() {
                run.detach();
            }
            self.samples.insert(name, sample);
        }
    }

    /// Ends an item without a result.
    pub fn give_back(&mut self, item: ReturnedItem) {
        let name = item.key.to_string();
        if let Some(mut held) = self.items.shift_remove(&name) {
            if let Some(run) = held.run.take() {
                run.detach();
            }
            self.returned.insert(name, item);
        }
    }

    /// Returns the names of all items that the agent answers for.
    pub fn names(&self) -> Vec<String> {
        let held = self.items.keys().chain(self.samples.keys());
        held.chain(self.returned.keys()).cloned().collect()
    }

    /// Returns the keys of the items that wait for a slot, those expected to take longest first.
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
