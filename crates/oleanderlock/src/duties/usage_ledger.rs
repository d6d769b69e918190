//! Counts of all entries, as the leading dispatcher collects them.

use super::WorkspaceCounts;
use super::true_clock::TrueClock;
use super::usage_report::UsageReport;
use super::usage_window::UsageWindow;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Time after its end at which a window closes although entries have not reported past it.
const CLOSE_AFTER: Millis = Millis(4000);
/// Time after the start of a leader until which entries that it does not know may report. Entries
/// send once a second and find a new leader within 1 s.
const GATHER_TIME: Millis = Millis(3000);
/// Time without a report after which an entry is no longer waited for.
const FORGET_AFTER: Millis = Millis::from_secs(15);

/// Identifies a process: name of its node, and a number of its own.
type ProcessKey = (String, u64);

/// What a process last reported.
#[derive(Clone, Debug)]
struct Heard {
    at: Millis,
    /// Time of day of the process minus the clock of the leader: the greatest one that its reports
    /// have shown, since a report that took long shows too little.
    offset_ms: i64,
    unix_ms: u64,
    complete_through_ms: u64,
}

/// Counts of all entries, as the leading dispatcher collects them.
///
/// Of each process, the newest report counts, so that a repeat changes nothing. The counts of a
/// process that has ended stay.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    window: UsageWindow,
    started: Millis,
    own_clock: TrueClock,
    processes: BTreeMap<ProcessKey, Heard>,
    counts: BTreeMap<u64, BTreeMap<ProcessKey, WorkspaceCounts>>,
}

impl UsageLedger {
    /// Returns an empty ledger of a leader that starts now; `own_clock` is the leader's.
    pub fn new(window: UsageWindow, now: Millis, own_clock: TrueClock) -> Self {
        Self {
            window,
            started: now,
            own_clock,
            processes: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Takes the report of an entry; returns how far the entry's clock is behind true time, in
    /// milliseconds.
    pub fn record(&mut self, now: Millis, report: UsageReport) -> i64 {
        let key = (report.node, report.process);
        let known = self.processes.get(&key);
        let shown = TrueClock::new(now, report.unix_ms).offset_ms();
        let offset_ms = known.map_or(shown, |known| known.offset_ms.max(shown));
        // A report that timed out may arrive after the next one.
        if known.is_none_or(|known| known.unix_ms <= report.unix_ms) {
            // A report has all windows that are not written; one that it lacks, though an earlier report
            // had it, held only requests that have not run there.
            for of_window in self.counts.values_mut() {
                of_window.remove(&key);
            }
            for (window, counts) in report.windows {
                let of_window = self.counts.entry(window).or_default();
                of_window.insert(key.clone(), counts);
            }
            let heard = Heard {
                at: now,
                offset_ms,
                unix_ms: report.unix_ms,
                complete_through_ms: report.complete_through_ms,
            };
            self.processes.insert(key, heard);
        }
        self.median_offset().wrapping_sub(offset_ms)
    }

    /// Returns true time in Unix milliseconds: by the median of the clocks of the entries and the
    /// leader, so that one that is off changes nothing.
    pub fn unix_ms(&self, now: Millis) -> u64 {
        now.0.saturating_add_signed(self.median_offset())
    }

    fn median_offset(&self) -> i64 {
        let mut offsets: Vec<i64> = self
            .processes
            .values()
            .map(|heard| heard.offset_ms)
            .collect();
        offsets.push(self.own_clock.offset_ms());
        offsets.sort_unstable();
        offsets[(offsets.len() - 1) / 2]
    }

    /// Returns the counts of the window after `through` if it is closed: all entries have reported
    /// past its end, or too much time has passed.
    pub fn close(&mut self, now: Millis, through: u64) -> Option<WorkspaceCounts> {
        self.processes
            .retain(|_, heard| now.since(heard.at) < FORGET_AFTER);
        let window = through + 1;
        let end = self.window.end(window);
        let ended_for = Millis(self.unix_ms(now).checked_sub(end)?);
        let led_for = now.since(self.started);
        let complete = self
            .processes
            .values()
            .all(|heard| heard.complete_through_ms >= end);
        let all_heard = !self.processes.is_empty() && led_for >= GATHER_TIME && complete;
        if !all_heard && ended_for.min(led_for) < CLOSE_AFTER {
            return None;
        }
        self.counts = self.counts.split_off(&window);
        let mut sums = WorkspaceCounts::new();
        let of_window = self.counts.get(&window);
        for (workspace, count) in of_window.into_iter().flat_map(BTreeMap::values).flatten() {
            *sums.entry(workspace.clone()).or_default() += count;
        }
        Some(sums)
    }

    /// Returns the entries that have not reported past the end of a window, for log lines.
    pub fn missing(&self, window: u64) -> Vec<&str> {
        let end = self.window.end(window);
        let late = self.processes.iter();
        late.filter(|(_, heard)| heard.complete_through_ms < end)
            .map(|((node, _), _)| node.as_str())
            .collect()
    }
}
