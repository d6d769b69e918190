//! The slots of an endpoint and the work that occupies them.

use crate::admission_config::AdmissionConfig;
use crate::prelude::*;
use crate::running_work::RunningWork;
use indexmap::IndexMap;

/// Time without interactive work after which samples may use the reserved slots.
const RESERVE_IDLE_MS: u64 = 10_000;

/// The slots of one endpoint, some of which are reserved for interactive work while there is any.
///
/// The memory is bounded by the number of slots.
#[derive(Clone, Debug)]
pub struct EndpointSlots {
    capacity: usize,
    /// Slots reserved for interactive work.
    reserve: usize,
    running: IndexMap<Ticket, RunningWork>,
    /// Slots occupied by samples.
    samples: usize,
    /// When interactive work last asked for a slot.
    last_interactive: Option<Millis>,
}

impl EndpointSlots {
    /// Creates an endpoint's slots, all of them free.
    pub fn new(cfg: AdmissionConfig) -> Self {
        let mut slots = Self {
            capacity: 0,
            reserve: 0,
            running: IndexMap::new(),
            samples: 0,
            last_interactive: None,
        };
        slots.resize(cfg);
        slots
    }

    /// Changes the number of slots; running work keeps its slot.
    pub fn resize(&mut self, cfg: AdmissionConfig) {
        self.capacity = cfg.capacity;
        self.reserve = match cfg.policy.has_shares() {
            true => cfg.interactive_reserve.min(cfg.capacity),
            false => 0,
        };
    }

    /// Records that work of this kind asked for a slot.
    pub fn record_arrival(&mut self, now: Millis, kind: WorkKind) {
        if kind == WorkKind::Interactive {
            self.last_interactive = Some(now);
        }
    }

    /// Gives a slot to the work. The caller checks [`Self::has_free`] first.
    pub fn occupy(&mut self, running: RunningWork) {
        if running.work.kind == WorkKind::Samples {
            self.samples += 1;
        }
        self.running.insert(running.work.ticket, running);
    }

    /// Frees the slot of an attempt; returns `None` if it has no slot.
    pub fn release(&mut self, ticket: Ticket) -> Option<RunningWork> {
        let running = self.running.swap_remove(&ticket)?;
        if running.work.kind == WorkKind::Samples {
            self.samples -= 1;
        }
        Some(running)
    }

    /// Returns whether the attempt occupies a slot.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket)
    }

    /// Returns the number of slots in use.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no slot is in use.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether all slots are in use.
    pub fn is_full(&self) -> bool {
        self.running.len() >= self.capacity
    }

    /// Returns whether work of this kind may start.
    pub fn has_free(&self, now: Millis, kind: WorkKind) -> bool {
        match kind {
            WorkKind::Interactive => !self.is_full(),
            WorkKind::Samples => {
                !self.is_full() && self.samples < self.capacity - self.reserved(now)
            }
        }
    }

    /// Returns when samples may use the reserved slots unless interactive work arrives before;
    /// `None` if they already may.
    pub fn reserve_end(&self, now: Millis) -> Option<Millis> {
        let last = self.last_interactive.filter(|_| self.reserved(now) > 0)?;
        Some(last.plus(Millis(RESERVE_IDLE_MS + 1)))
    }

    /// Returns the expected time in milliseconds until the first of the running requests ends.
    /// Remaining times are assumed to be spread evenly from zero, so that the first is twice
    /// their mean divided by one more than their number.
    pub fn expected_first_end_ms(&self, now: Millis) -> u64 {
        let count = self.running.len() as u64;
        let remaining = |running: &RunningWork| running.service.since(now.since(running.since)).0;
        let sum: u64 = self.running.values().map(remaining).sum();
        sum * 2 / (count * (count + 1)).max(1)
    }

    fn reserved(&self, now: Millis) -> usize {
        let is_recent = |at: Millis| now.since(at).0 <= RESERVE_IDLE_MS;
        if self.last_interactive.is_some_and(is_recent) {
            self.reserve
        } else {
            0
        }
    }
}
