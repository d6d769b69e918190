//! Leases with fencing numbers, kept in an object of the platform's store.
//!
//! No two clocks are compared: a holder counts its lease on its own monotonic clock from before
//! the write was sent, and a contender counts from when it first saw the record.

use crate::guards::Guards;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Lengths of a lease; the same for all contenders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// Time from a renewal until a contender may take the lease.
    pub length: Millis,
    /// How long before its end the holder stops acting; covers the drift of the clocks over a
    /// length, and the time from a check to its effect.
    pub margin: Millis,
    /// Time from one renewal to the next.
    pub renew: Millis,
}

impl Default for LeaseTerm {
    fn default() -> Self {
        Self {
            length: Millis::from_secs(6),
            margin: Millis::from_secs(2),
            renew: Millis::from_secs(2),
        }
    }
}

/// The value of a lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease.
    pub holder: Incarnation,
    /// Grows with every change of holder.
    pub fence: Fence,
    /// Grows with every renewal, so that each write changes the record.
    pub renewal: u64,
    /// The holder gave the lease up.
    pub released: bool,
}

/// What a contender is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write this record over the version, 0 for an object that must not exist.
    Write {
        /// Version to replace.
        base: u64,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// An answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAnswer {
    /// The object as read; `None` if it does not exist.
    Read {
        /// Version of its last write, 0 for none.
        version: u64,
        /// Its record.
        record: Option<LeaseRecord>,
    },
    /// The write took effect as this version.
    Written(u64),
    /// The condition of the write did not hold.
    Conflict,
    /// The store is down, or the answer was lost.
    Unavailable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    at: Millis,
    record: LeaseRecord,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Seen {
    version: u64,
    record: Option<LeaseRecord>,
    since: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    fence: Fence,
    until: Millis,
    renew_at: Millis,
}

/// One contender for one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Incarnation,
    term: LeaseTerm,
    guards: Guards,
    seen: Option<Seen>,
    sent: Option<Sent>,
    reading: bool,
    held: Option<Held>,
}

impl Lease {
    /// Returns a contender that holds nothing yet.
    pub const fn new(me: Incarnation, term: LeaseTerm) -> Self {
        Self::with_guards(me, term, Guards::ALL)
    }

    /// As [`Self::new`], with guards that may be off; for model checking.
    pub const fn with_guards(me: Incarnation, term: LeaseTerm, guards: Guards) -> Self {
        Self {
            me,
            term,
            guards,
            seen: None,
            sent: None,
            reading: false,
            held: None,
        }
    }

    /// The fencing number under which the holder may act at time `now`; `None` if it may not.
    ///
    /// Read the clock again for each order and after each pause, and put the number into the
    /// order: a pause after the check is caught by whoever refuses old numbers.
    pub fn may_act(&self, now: Millis) -> Option<Fence> {
        let margin = match self.guards.lease_margin {
            true => self.term.margin,
            false => Millis::ZERO,
        };
        let held = self.held?;
        (now.plus(margin) < held.until).then_some(held.fence)
    }

    /// Returns what to do at time `now`; to be called once in a `renew` interval. At most one call is
    /// under way at a time.
    pub fn tick(&mut self, now: Millis) -> Option<LeaseAction> {
        if self.reading || self.sent.is_some() {
            return None;
        }
        if self.held.is_some_and(|held| now < held.renew_at) {
            return None;
        }
        let Some(seen) = self.seen else {
            self.reading = true;
            return Some(LeaseAction::Read);
        };
        if self.may_write(now, seen) {
            return Some(self.write(now, seen, false));
        }
        self.reading = true;
        Some(LeaseAction::Read)
    }

    /// Gives the lease up, so that the next contender need not wait.
    pub fn release(&mut self, now: Millis) -> Option<LeaseAction> {
        let held = self.held.take()?;
        let seen = self.seen?;
        let mine = seen.record.is_some_and(|record| record.fence == held.fence);
        (mine && self.sent.is_none()).then(|| self.write(now, seen, true))
    }

    /// Takes the store's answer to the last action.
    pub fn on_answer(&mut self, now: Millis, answer: LeaseAnswer) {
        self.reading = false;
        let sent = self.sent.take();
        match (answer, sent) {
            (LeaseAnswer::Read { version, record }, _) => self.on_read(now, version, record),
            (LeaseAnswer::Written(version), Some(sent)) => self.on_written(now, version, sent),
            // A conflict or a lost answer: read what stands before anything else.
            _ => self.seen = None,
        }
    }

    fn may_write(&self, now: Millis, seen: Seen) -> bool {
        match seen.record {
            None => true,
            Some(record) if record.released => true,
            Some(record) if record.holder == self.me => true,
            Some(_) => now.since(seen.since) >= self.term.length,
        }
    }

    fn write(&mut self, now: Millis, seen: Seen, released: bool) -> LeaseAction {
        let record = self.next_record(now, seen.record, released);
        self.sent = Some(Sent { at: now, record });
        LeaseAction::Write {
            base: seen.version,
            record,
        }
    }

    fn next_record(&self, now: Millis, last: Option<LeaseRecord>, released: bool) -> LeaseRecord {
        let renews = released || self.may_act(now).is_some();
        let fence = last.map_or(Fence(0), |record| record.fence);
        LeaseRecord {
            holder: self.me,
            fence: if renews { fence } else { Fence(fence.0 + 1) },
            renewal: last.map_or(0, |record| record.renewal) + 1,
            released,
        }
    }

    fn on_read(&mut self, now: Millis, version: u64, record: Option<LeaseRecord>) {
        if self.seen.is_none_or(|seen| seen.version != version) {
            self.seen = Some(Seen {
                version,
                record,
                since: now,
            });
        }
        let mine = |record: LeaseRecord| record.holder == self.me && !record.released;
        if !record.is_some_and(mine) {
            self.held = None;
        }
    }

    fn on_written(&mut self, now: Millis, version: u64, sent: Sent) {
        let from = match self.guards.lease_margin {
            true => sent.at,
            false => now,
        };
        self.seen = Some(Seen {
            version,
            record: Some(sent.record),
            since: now,
        });
        self.held = (!sent.record.released).then(|| Held {
            fence: sent.record.fence,
            until: from.plus(self.term.length),
            renew_at: from.plus(self.term.renew),
        });
    }
}
