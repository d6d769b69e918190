//! The queue in front of an endpoint.

use crate::prelude::*;
use crate::shares::ClassKey;
use crate::work::Work;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Work in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedWork {
    /// The work.
    pub work: Work,
    /// Expected service time.
    pub service: Millis,
    /// Point after which a start can no longer meet the deadline.
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

#[derive(Clone, Copy, Debug)]
struct Place {
    lane: LaneKey,
    number: u64,
    latest_start: Millis,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    works: BTreeMap<u64, QueuedWork>,
    service_ms: u64,
}

/// Queued work by class and priority, first in first out within both.
///
/// Bounded by the caller, which checks the lengths before it pushes.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    places: IndexMap<Ticket, Place>,
    expiries: BTreeSet<(Expiry, Ticket)>,
    service_ms: u64,
    next: u64,
}

impl AdmissionQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether the attempt is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.places.contains_key(&ticket)
    }

    /// Adds work behind all work of its class and priority.
    pub fn push(&mut self, queued: QueuedWork) {
        let work = queued.work;
        let lane = LaneKey {
            class: work.class,
            priority: Reverse(work.priority),
        };
        let place = Place {
            lane,
            number: self.next,
            latest_start: queued.latest_start,
        };
        self.next += 1;
        self.places.insert(work.ticket, place);
        self.expiries.insert((place.expiry(), work.ticket));
        let lane = self.lanes.entry(lane).or_default();
        lane.works.insert(place.number, queued);
        lane.service_ms += queued.service.0;
        self.service_ms += queued.service.0;
    }

    /// Removes the attempt.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedWork> {
        let place = self.places.swap_remove(&ticket)?;
        self.expiries.remove(&(place.expiry(), ticket));
        let lane = self.lanes.get_mut(&place.lane)?;
        let queued = lane.works.remove(&place.number)?;
        lane.service_ms -= queued.service.0;
        self.service_ms -= queued.service.0;
        if lane.works.is_empty() {
            self.lanes.remove(&place.lane);
        }
        Some(queued)
    }

    /// Returns the next work of the class.
    pub fn head(&self, class: ClassKey) -> Option<&QueuedWork> {
        let (_, lane) = self.lanes_of(class).next()?;
        lane.works.values().next()
    }

    /// Returns the work that has been queued longest, whatever its class.
    pub fn oldest(&self) -> Option<&QueuedWork> {
        let heads = self
            .lanes
            .values()
            .filter_map(|lane| lane.works.first_key_value());
        let oldest = heads.min_by_key(|(number, _)| **number);
        oldest.map(|(_, queued)| queued)
    }

    /// Returns the first work whose latest start lies before `now`.
    pub fn expired(&self, now: Millis) -> Option<Ticket> {
        let (expiry, ticket) = self.expiries.first()?;
        (expiry.latest_start < now).then_some(*ticket)
    }

    /// Returns the earliest of all latest starts.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.expiries.first().map(|(expiry, _)| expiry.latest_start)
    }

    /// Returns any queued attempt.
    pub fn any(&self) -> Option<Ticket> {
        self.places.last().map(|(ticket, _)| *ticket)
    }

    /// Returns the expected service time of all queued work, in milliseconds of one slot.
    pub fn service_ms(&self) -> u64 {
        self.service_ms
    }

    /// Returns the same for the work of one class that goes before new work of `priority`.
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

impl Place {
    fn expiry(&self) -> Expiry {
        Expiry {
            latest_start: self.latest_start,
            number: self.number,
        }
    }
}
