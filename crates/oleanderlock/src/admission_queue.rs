//! The queue in front of an endpoint.

use crate::prelude::*;
use crate::shares::ClassKey;
use crate::work::Work;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Work in the queue, with its estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedWork {
    /// The queued attempt.
    pub work: Work,
    /// Estimated time that the work will hold a slot.
    pub service: Millis,
    /// Time after which the work can no longer meet its deadline.
    pub latest_start: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    class: ClassKey,
    priority: Reverse<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    latest_start: Millis,
    number: u64,
}

/// Where an attempt is queued.
#[derive(Clone, Copy, Debug)]
struct QueuePosition {
    lane: LaneKey,
    number: u64,
    latest_start: Millis,
}

/// The queue of one class and priority, ordered by arrival number.
#[derive(Clone, Debug, Default)]
struct Lane {
    works: BTreeMap<u64, QueuedWork>,
    service_ms: u64,
}

/// Queued work by class and priority, first in first out within each pair.
///
/// The queue has no limit of its own: the caller checks the lengths before it pushes.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    positions: IndexMap<Ticket, QueuePosition>,
    expiries: BTreeSet<(Expiry, Ticket)>,
    service_ms: u64,
    next: u64,
}

impl AdmissionQueue {
    /// Returns the number of queued attempts.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether the attempt is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.positions.contains_key(&ticket)
    }

    /// Appends work to the lane of its class and priority.
    pub fn push(&mut self, queued: QueuedWork) {
        let work = queued.work;
        let lane = LaneKey {
            class: work.class,
            priority: Reverse(work.priority),
        };
        let position = QueuePosition {
            lane,
            number: self.next,
            latest_start: queued.latest_start,
        };
        self.next += 1;
        self.positions.insert(work.ticket, position);
        self.expiries.insert((position.expiry(), work.ticket));
        let lane = self.lanes.entry(lane).or_default();
        lane.works.insert(position.number, queued);
        lane.service_ms += queued.service.0;
        self.service_ms += queued.service.0;
    }

    /// Removes the attempt and returns it; `None` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedWork> {
        let position = self.positions.swap_remove(&ticket)?;
        self.expiries.remove(&(position.expiry(), ticket));
        let lane = self.lanes.get_mut(&position.lane)?;
        let queued = lane.works.remove(&position.number)?;
        lane.service_ms -= queued.service.0;
        self.service_ms -= queued.service.0;
        if lane.works.is_empty() {
            self.lanes.remove(&position.lane);
        }
        Some(queued)
    }

    /// Returns the work of the class that starts next: the oldest of its greatest priority.
    pub fn head(&self, class: ClassKey) -> Option<&QueuedWork> {
        let (_, lane) = self.lanes_of(class).next()?;
        lane.works.values().next()
    }

    /// Returns the work that has been queued longest, of any class.
    pub fn oldest(&self) -> Option<&QueuedWork> {
        let heads = self
            .lanes
            .values()
            .filter_map(|lane| lane.works.first_key_value());
        let oldest = heads.min_by_key(|(number, _)| **number);
        oldest.map(|(_, queued)| queued)
    }

    /// Returns the attempt with the earliest latest start, if that lies before `now`.
    pub fn expired(&self, now: Millis) -> Option<Ticket> {
        let (expiry, ticket) = self.expiries.first()?;
        (expiry.latest_start < now).then_some(*ticket)
    }

    /// Returns the earliest of all latest starts.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.expiries.first().map(|(expiry, _)| expiry.latest_start)
    }

    /// Returns an arbitrary queued attempt.
    pub fn any_ticket(&self) -> Option<Ticket> {
        self.positions.last().map(|(ticket, _)| *ticket)
    }

    /// Returns the estimated service time of all queued work, in milliseconds of one slot.
    pub fn service_ms(&self) -> u64 {
        self.service_ms
    }

    /// Returns the estimated service time of the queued work of one class that starts before new
    /// work of `priority`, in milliseconds of one slot.
    pub fn service_ms_ahead(&self, class: ClassKey, priority: u32) -> u64 {
        let ahead = self
            .lanes_of(class)
            .take_while(|(key, _)| key.priority.0 >= priority);
        ahead.map(|(_, lane)| lane.service_ms).sum()
    }

    fn lanes_of(&self, class: ClassKey) -> impl Iterator<Item = (&LaneKey, &Lane)> {
        let first = LaneKey {
            class,
            priority: Reverse(u32::MAX),
        };
        let last = LaneKey {
            class,
            priority: Reverse(0),
        };
        self.lanes.range(first..=last)
    }
}

impl QueuePosition {
    fn expiry(&self) -> Expiry {
        Expiry {
            latest_start: self.latest_start,
            number: self.number,
        }
    }
}
