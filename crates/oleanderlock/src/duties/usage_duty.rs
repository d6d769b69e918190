//! Usage reports of one holder.

use super::WorkspaceCounts;
use super::duty_holder::DutyHolder;
use super::duty_write::DutyWrite;
use super::pending_window::PendingWindow;
use super::usage_state::UsageState;
use super::usage_step::UsageStep;
use crate::backoff::{Backoff, BackoffConfig};
use crate::prelude::*;
use std::collections::BTreeSet;

/// Most windows that wait for their report in the record; with 76 workspaces, a window takes 2 KB.
const PENDING_MAX: usize = 128;
/// Pauses after failed calls.
const PAUSES: BackoffConfig = BackoffConfig {
    min: Millis(100),
    max: Millis(2000),
};

/// Usage reports of one holder: writes the counts of closed windows into the record of the duty, then
/// sends exactly what the record says.
#[derive(Clone, Debug)]
pub struct UsageDuty {
    holder: DutyHolder<UsageState>,
    /// What the record is to hold. A window that was put here never changes its counts, even if its
    /// write failed: the write may take effect later.
    state: Option<UsageState>,
    reported: BTreeSet<u64>,
    call_gap: Millis,
    call_pauses: Backoff,
    next_call: Millis,
    store_pauses: Backoff,
    next_write: Millis,
}

impl UsageDuty {
    /// Returns the reports of a holder named `node` that sends a call each `call_gap` at most.
    pub fn new(node: &str, lease: Millis, call_gap: Millis) -> Self {
        Self {
            holder: DutyHolder::new(node, lease),
            state: None,
            reported: BTreeSet::new(),
            call_gap,
            call_pauses: Backoff::new(PAUSES),
            next_call: Millis::ZERO,
            store_pauses: Backoff::new(PAUSES),
            next_write: Millis::ZERO,
        }
    }

    /// Returns the protocol's state.
    pub fn holder(&self) -> &DutyHolder<UsageState> {
        &self.holder
    }

    /// Returns the last window that is known to be written; 0 before the duty is held.
    pub fn written_through(&self) -> u64 {
        let held = self.holder.fence().and(self.holder.state());
        held.map_or(0, |state| state.through)
    }

    /// Whether a report may be sent now; asked again once the connection is open.
    pub fn may_report(&self, now: Millis) -> bool {
        self.holder.may_act(now)
    }

    /// Returns what to do next. `close` returns the counts of the window after the given one, if that
    /// window is closed. A new record begins after the window `first_through`.
    pub fn next(
        &mut self,
        now: Millis,
        first_through: u64,
        mut close: impl FnMut(u64) -> Option<WorkspaceCounts>,
    ) -> UsageStep {
        if self.holder.is_over() {
            return UsageStep::Over;
        }
        if now < self.next_write {
            return UsageStep::Wait;
        }
        if self.holder.needs_read() {
            return UsageStep::Read;
        }
        if self.holder.fence().is_none() {
            let initial = UsageState {
                through: first_through,
                pending: Vec::new(),
            };
            return UsageStep::Write(self.holder.take(initial));
        }
        let Some(stored) = self.holder.state().cloned() else {
            return UsageStep::Over;
        };
        let state = self.state.get_or_insert_with(|| stored.clone());
        while state.pending.len() < PENDING_MAX {
            let Some(counts) = close(state.through) else {
                break;
            };
            state.through += 1;
            let window = state.through;
            state.pending.push(PendingWindow { window, counts });
        }
        if state.through > stored.through {
            return self.write();
        }
        let mut waiting = stored.pending.into_iter();
        let waiting = waiting.find(|pending| !self.reported.contains(&pending.window));
        let Some(window) = waiting else {
            return UsageStep::Wait;
        };
        if now < self.next_call || now < self.holder.acts_from() {
            return UsageStep::Wait;
        }
        match self.holder.fence().filter(|_| self.may_report(now)) {
            Some(fence) => UsageStep::Report { fence, window },
            None => self.write(),
        }
    }

    /// Takes the record and its revision, as read by a call that was answered at `now`.
    pub fn record_read(
        &mut self,
        now: Millis,
        found: Option<(super::duty_record::DutyRecord<UsageState>, u64)>,
    ) {
        self.holder.record_read(now, found);
    }

    /// Records that a write that began at `began` has taken effect.
    pub fn record_written(
        &mut self,
        began: Millis,
        now: Millis,
        write: DutyWrite<UsageState>,
        revision: u64,
    ) {
        self.store_pauses.succeed();
        self.holder.record_written(began, now, write, revision);
        let pending = self.holder.state().map(|state| &state.pending);
        let kept: BTreeSet<u64> = pending
            .into_iter()
            .flatten()
            .map(|one| one.window)
            .collect();
        self.reported.retain(|window| kept.contains(window));
    }

    /// Records that a write conflicted or that its effect is not known.
    pub fn record_doubt(&mut self) {
        self.holder.record_doubt();
    }

    /// Records a failed call to the store; the next one follows after a pause, of which `draw` is a
    /// random number.
    pub fn record_store_failure(&mut self, now: Millis, draw: u64) {
        self.next_write = now.plus(self.store_pauses.fail(draw));
    }

    /// Records that the report of a window has arrived, or will never be taken.
    pub fn record_reported(&mut self, now: Millis, window: u64) {
        self.reported.insert(window);
        self.call_pauses.succeed();
        self.next_call = now.plus(self.call_gap);
    }

    /// Records that a report was refused for now or not answered; the next one follows after a
    /// pause, of which `draw` is a random number. Returns the pause.
    pub fn record_unreported(&mut self, now: Millis, draw: u64) -> Millis {
        let pause = self.call_pauses.fail(draw).max(self.call_gap);
        self.next_call = now.plus(pause);
        pause
    }

    /// Returns the write of what the record is to hold, without the windows that were reported.
    fn write(&mut self) -> UsageStep {
        let reported = &self.reported;
        if let Some(state) = &mut self.state {
            state
                .pending
                .retain(|pending| !reported.contains(&pending.window));
        }
        let state = self.state.clone();
        match state.and_then(|state| self.holder.write(state)) {
            Some(write) => UsageStep::Write(write),
            None => UsageStep::Over,
        }
    }
}
