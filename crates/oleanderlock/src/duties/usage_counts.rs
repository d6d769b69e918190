//! Requests that ran, as an entry counts them.

use super::WorkspaceCounts;
use super::open_request::OpenRequest;
use super::true_clock::TrueClock;
use super::usage_report::UsageReport;
use super::usage_window::UsageWindow;
use crate::prelude::*;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Windows that are kept while no leader writes them: an hour of windows of 5 s.
const WINDOWS_MAX: usize = 720;

/// Requests that ran, by window and workspace, as an entry counts them.
///
/// A request counts once, in the window in which the endpoint that answered received it. While its
/// outcome is not known, it counts as running from its first attempt that was not refused, so that a
/// request that outlasts the writing of its window is not lost.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    window: UsageWindow,
    start_clock: TrueClock,
    clock: TrueClock,
    next_id: u64,
    open: IndexMap<u64, OpenRequest>,
    windows: BTreeMap<u64, WorkspaceCounts>,
    // Last window that the leader has written.
    written_through: u64,
    late: u64,
    dropped: u64,
}

impl UsageCounts {
    /// Returns counts without requests; `clock` is the process's own.
    pub fn new(window: UsageWindow, clock: TrueClock) -> Self {
        Self {
            window,
            start_clock: clock,
            clock,
            next_id: 0,
            open: IndexMap::new(),
            windows: BTreeMap::new(),
            written_through: 0,
            late: 0,
            dropped: 0,
        }
    }

    /// Adds a request that was sent nowhere yet; returns its id.
    pub fn begin(&mut self, workspace: Arc<str>) -> u64 {
        self.next_id += 1;
        self.open.insert(self.next_id, OpenRequest::new(workspace));
        self.next_id
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, id: u64, instance: &str, now: Millis) {
        if let Some(request) = self.open.get_mut(&id) {
            request.record_sent(instance, now);
        }
    }

    /// Records that an endpoint has not run a request that was sent to it.
    pub fn record_not_run(&mut self, id: u64, instance: &str) {
        if let Some(request) = self.open.get_mut(&id) {
            request.record_not_run(instance);
        }
    }

    /// Records that the response of an endpoint was lost.
    pub fn record_lost(&mut self, id: u64, instance: &str) {
        if let Some(request) = self.open.get_mut(&id) {
            request.record_lost(instance);
        }
    }

    /// Records that an endpoint ran a request and failed, after which another one may answer.
    pub fn record_failed(&mut self, id: u64, instance: &str) {
        if let Some(request) = self.open.get_mut(&id) {
            request.record_failed(instance);
        }
    }

    /// Counts a request that an endpoint has answered.
    pub fn record_answer(&mut self, id: u64, instance: &str) {
        let Some(request) = self.open.swap_remove(&id) else {
            return;
        };
        let at = request.sent_at(instance).or(request.began_at());
        self.settle(&request, at);
    }

    /// Counts a stream whose first event has arrived.
    pub fn record_first_event(&mut self, id: u64, now: Millis) {
        if let Some(request) = self.open.swap_remove(&id) {
            self.settle(&request, Some(now));
        }
    }

    /// Ends a request without an answer; it counts if it may have run. Does nothing for one that was
    /// counted.
    pub fn finish(&mut self, id: u64) {
        if let Some(request) = self.open.swap_remove(&id) {
            self.settle(&request, request.began_at());
        }
    }

    /// Returns the report to the leader at the time `now`.
    pub fn report(&self, now: Millis, node: &str, process: u64) -> UsageReport {
        let mut windows = self.windows.clone();
        let mut complete_through = now;
        for request in self.open.values() {
            let Some(at) = request.began_at() else {
                continue;
            };
            complete_through = complete_through.min(at);
            if !request.counted {
                add(&mut windows, self.window_of(at), &request.workspace);
            }
        }
        windows.retain(|window, _| *window > self.written_through);
        UsageReport {
            node: node.to_owned(),
            process,
            unix_ms: self.start_clock.unix_ms(now),
            complete_through_ms: self.clock.unix_ms(complete_through),
            windows,
            demand: Vec::new(),
        }
    }

    /// Whether there are counts that the leader has not written yet.
    pub fn has_unwritten(&self) -> bool {
        let mut open = self.open.values();
        !self.windows.is_empty() || open.any(|request| request.began_at().is_some())
    }

    /// Takes the leader's response: the last window that is written, and how far this process's own
    /// clock is behind true time.
    pub fn confirm(&mut self, written_through: u64, offset_ms: i64) {
        self.clock = self.start_clock.corrected(offset_ms);
        self.written_through = self.written_through.max(written_through);
        let through = self.written_through;
        self.windows.retain(|window, _| *window > through);
        let (window, clock) = (self.window, self.clock);
        for request in self.open.values_mut() {
            let at = request.began_at();
            if at.is_some_and(|at| window.at(clock.unix_ms(at)) <= through) {
                request.counted = true;
            }
        }
    }

    /// Returns the requests whose window was already written when their outcome was known, and the
    /// windows that were dropped because no leader wrote them, since the last call.
    pub fn take_losses(&mut self) -> (u64, u64) {
        let late = std::mem::take(&mut self.late);
        (late, std::mem::take(&mut self.dropped))
    }

    fn window_of(&self, at: Millis) -> u64 {
        self.window.at(self.clock.unix_ms(at))
    }

    fn settle(&mut self, request: &OpenRequest, at: Option<Millis>) {
        let Some(at) = at.filter(|_| !request.counted) else {
            return;
        };
        let window = self.window_of(at);
        if window <= self.written_through {
            self.late += 1;
            return;
        }
        add(&mut self.windows, window, &request.workspace);
        if self.windows.len() > WINDOWS_MAX {
            self.windows.pop_first();
            self.dropped += 1;
        }
    }
}

fn add(windows: &mut BTreeMap<u64, WorkspaceCounts>, window: u64, workspace: &str) {
    let counts = windows.entry(window).or_default();
    match counts.get_mut(workspace) {
        Some(count) => *count += 1,
        None => {
            counts.insert(workspace.to_owned(), 1);
        }
    }
}
