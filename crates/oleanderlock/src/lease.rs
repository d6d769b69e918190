//! Leases with fencing numbers, stored as objects in the platform's store.
//!
//! Clocks of different processes are not compared. A holder measures its lease on its own
//! monotonic clock, starting before it sends the write. A contender measures from when it first
//! read the record.

use crate::guards::Guards;
use crate::lease_action::LeaseAction;
use crate::lease_answer::LeaseAnswer;
use crate::lease_record::LeaseRecord;
use crate::lease_term::LeaseTerm;
use crate::prelude::*;

/// A write whose answer is outstanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentWrite {
    at: Millis,
    record: LeaseRecord,
}

/// The lease object as last read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenRecord {
    version: u64,
    record: Option<LeaseRecord>,
    /// When this contender first saw the version.
    since: Millis,
}

/// The lease while this contender holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fence: Fence,
    until: Millis,
    renew_at: Millis,
}

/// A contender for a lease, which may hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Incarnation,
    term: LeaseTerm,
    guards: Guards,
    seen: Option<SeenRecord>,
    sent: Option<SentWrite>,
    /// Whether the answer to a read is outstanding.
    reading: bool,
    held: Option<HeldLease>,
}

impl Lease {
    /// Creates a contender that does not hold the lease.
    pub const fn new(me: Incarnation, term: LeaseTerm) -> Self {
        Self::with_guards(me, term, Guards::ALL)
    }

    /// Creates a contender with some guards disabled; for model checking only.
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

    /// Returns the fencing number with which this contender may act at `now`; `None` if it may
    /// not act.
    ///
    /// Callers must read the clock again for each order and after each pause, and include the
    /// number in the order. If the process is paused after the check, the receiver refuses the
    /// order once it has seen a greater number.
    pub fn may_act(&self, now: Millis) -> Option<Fence> {
        let margin = match self.guards.lease_margin {
            true => self.term.margin,
            false => Millis::ZERO,
        };
        let held = self.held?;
        (now.plus(margin) < held.until).then_some(held.fence)
    }

    /// Returns the call to make at `now`, if any; must be called at least once per `renew` interval.
    /// At most one call is outstanding at a time.
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

    /// Releases the lease, so that the next contender need not wait for its end.
    pub fn release(&mut self, now: Millis) -> Option<LeaseAction> {
        let held = self.held.take()?;
        let seen = self.seen?;
        let mine = seen.record.is_some_and(|record| record.fence == held.fence);
        (mine && self.sent.is_none()).then(|| self.write(now, seen, true))
    }

    /// Processes the store's answer to the last action.
    pub fn on_answer(&mut self, now: Millis, answer: LeaseAnswer) {
        self.reading = false;
        let sent = self.sent.take();
        match (answer, sent) {
            (LeaseAnswer::Read { version, record }, _) => self.on_read(now, version, record),
            (LeaseAnswer::Written(version), Some(sent)) => self.on_written(now, version, sent),
            // After a conflict or a lost answer, read the object before the next write.
            _ => self.seen = None,
        }
    }

    fn may_write(&self, now: Millis, seen: SeenRecord) -> bool {
        match seen.record {
            None => true,
            Some(record) if record.released => true,
            Some(record) if record.holder == self.me => true,
            Some(_) => now.since(seen.since) >= self.term.length,
        }
    }

    fn write(&mut self, now: Millis, seen: SeenRecord, released: bool) -> LeaseAction {
        let record = self.next_record(now, seen.record, released);
        self.sent = Some(SentWrite { at: now, record });
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
            self.seen = Some(SeenRecord {
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

    fn on_written(&mut self, now: Millis, version: u64, sent: SentWrite) {
        let from = match self.guards.lease_margin {
            true => sent.at,
            false => now,
        };
        self.seen = Some(SeenRecord {
            version,
            record: Some(sent.record),
            since: now,
        });
        self.held = (!sent.record.released).then(|| HeldLease {
            fence: sent.record.fence,
            until: from.plus(self.term.length),
            renew_at: from.plus(self.term.renew),
        });
    }
}
