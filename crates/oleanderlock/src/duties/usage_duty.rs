//! Usage reports and scale orders of one holder.

use super::WorkspaceCounts;
use super::duty_holder::DutyHolder;
use super::duty_write::DutyWrite;
use super::pending_window::PendingWindow;
use super::scale_order::ScaleOrder;
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

/// Usage reports and scale orders of one holder: writes the counts of closed windows and the orders into
/// the record of the duties, then sends exactly what the record says.
///
/// Both duties have one record, so that they have one holder and one fence.
#[derive(Clone, Debug)]
pub struct UsageDuty {
    holder: DutyHolder<UsageState>,
    /// What the record is to hold. A window that was put here never changes its counts, even if its
    /// write failed: the write may take effect later.
    state: Option<UsageState>,
    reported: BTreeSet<u64>,
    // Whether an order is sent before the reports that wait, so that neither waits for the other.
    order_first: bool,
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
            order_first: false,
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
                orders: Vec::new(),
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
        let is_new = |order: &ScaleOrder| {
            let mut known = stored.orders.iter();
            !known.any(|one| one.is_about(order) && one.count == order.count)
        };
        if state.through > stored.through || state.orders.iter().any(is_new) {
            return self.write();
        }
        let mut waiting = stored.pending.into_iter();
        let waiting = waiting.find(|pending| !self.reported.contains(&pending.window));
        let waiting_order = self.waiting_order();
        if waiting.is_none() && waiting_order.is_none() {
            return UsageStep::Wait;
        }
        if now < self.next_call || now < self.holder.acts_from() {
            return UsageStep::Wait;
        }
        let Some(fence) = self.holder.fence().filter(|_| self.may_report(now)) else {
            return self.write();
        };
        match (waiting, waiting_order) {
            (Some(window), order) if order.is_none() || !self.order_first => {
                UsageStep::Report { fence, window }
            }
            (_, Some(order)) => UsageStep::Order { fence, order },
            (_, None) => UsageStep::Wait,
        }
    }

    /// Returns the last orders, as the record has them or is to have them.
    pub fn orders(&self) -> &[ScaleOrder] {
        let state = self.state.as_ref().or(self.holder.state());
        state.map_or(&[], |state| state.orders.as_slice())
    }

    /// Orders endpoints: the order is written, then sent. Does nothing before the duty is held.
    pub fn order(&mut self, order: ScaleOrder) {
        let Some(state) = &mut self.state else {
            return;
        };
        state.orders.retain(|known| !known.is_about(&order));
        state.orders.push(order);
    }

    /// Records that the platform has taken an order, or never will.
    pub fn record_ordered(&mut self, now: Millis, order: &ScaleOrder) {
        let orders = self.state.iter_mut().flat_map(|state| &mut state.orders);
        for known in orders {
            known.taken |= known.is_about(order) && known.count == order.count;
        }
        self.call_pauses.succeed();
        self.next_call = now.plus(self.call_gap);
        self.order_first = false;
    }

    /// Returns an order that is written and was not taken; one that is replaced is left out.
    fn waiting_order(&self) -> Option<ScaleOrder> {
        let stored = self.holder.state()?;
        let is_stored = |order: &&ScaleOrder| {
            let mut stored = stored.orders.iter();
            stored.any(|one| one.is_about(order) && one.count == order.count)
        };
        let mut orders = self.orders().iter();
        orders
            .find(|order| !order.taken && is_stored(order))
            .cloned()
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

    /// Records that a write conflicted.
    pub fn record_conflict(&mut self) {
        self.holder.record_conflict();
    }

    /// Records that the effect of a write that began at `began` is not known.
    pub fn record_unanswered(&mut self, began: Millis, write: DutyWrite<UsageState>) {
        self.holder.record_unanswered(began, write);
    }

    /// Records a failed call to the store; the next one follows after a pause, of which `draw` is a
    /// random number.
    pub fn record_store_failure(&mut self, now: Millis, draw: u64) {
        self.next_write = now.plus(self.store_pauses.fail(draw));
    }

    /// Records that the report of a window has arrived, or will never be taken.
    pub fn record_reported(&mut self, now: Millis, window: u64) {
        self.reported.insert(window);
        self.order_first = true;
        self.call_pauses.succeed();
        self.next_call = now.plus(self.call_gap);
    }

    /// Records that a call was refused for now or not answered; the next one follows after a
    /// pause, of which `draw` is a random number. Returns the pause.
    pub fn record_unreported(&mut self, now: Millis, draw: u64) -> Millis {
        self.order_first = !self.order_first;
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
