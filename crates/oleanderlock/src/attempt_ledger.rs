//! Duplicate suppression at an agent, for one incarnation.
//!
//! A non-idempotent request has one record and one outcome per incarnation, for all its attempt
//! numbers and all entries that send it. "Not run" is an outcome like the others and as final. An
//! idempotent request has one record for each ticket.

pub use crate::ledger_limits::LedgerLimits;
pub use crate::submit_action::{BuryReply, SubmitAction};

use crate::guards::Guards;
use crate::prelude::*;
use crate::request_outcome::Outcome;
use crate::submission::Submission;
use indexmap::IndexMap;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Key of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RecordKey {
    request: RequestId,
    /// `None` for non-idempotent requests, whose attempts share one record.
    attempt: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RecordState {
    Queued,
    Running,
    Done(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    state: RecordState,
    /// Latest start.
    deadline: Millis,
    /// When the record may be dropped, once it has an outcome.
    prune_at: Millis,
    fingerprint: u64,
}

/// Records the state and outcome of the attempts that reached one agent incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptLedger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    guards: Guards,
    records: IndexMap<RecordKey, Record>,
    expiry: BTreeSet<Expiry>,
    /// Indexed by a hash of the request: an attempt without a record and with a horizon up to this
    /// one must not start. Replaces tombstones while the table is full.
    floors: Vec<Millis>,
    answer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Expiry {
    at: Millis,
    key: RecordKey,
}

impl AttemptLedger {
    /// Returns an empty ledger for a new incarnation.
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self::with_guards(incarnation, limits, Guards::ALL)
    }

    /// As [`Self::new`], with some guards switched off; for model checking.
    pub fn with_guards(incarnation: Incarnation, limits: LedgerLimits, guards: Guards) -> Self {
        Self {
            incarnation,
            limits,
            guards,
            records: IndexMap::new(),
            expiry: BTreeSet::new(),
            floors: vec![Millis::ZERO; limits.floor_count.max(1)],
            answer_bytes: 0,
        }
    }

    /// Returns the only incarnation whose tickets are accepted.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Handles a submission, which may be a duplicate of an earlier one. `now` is the time of the
    /// agent's clock, as in all methods.
    pub fn submit(&mut self, now: Millis, submission: &Submission) -> SubmitAction {
        if self.is_foreign(submission.ticket) {
            return SubmitAction::Refuse(ErrorKind::WrongIncarnation, Ran::Unknown);
        }
        self.prune(now);
        let key = self.key(submission.ticket, submission.idempotent);
        if let Some(record) = self.records.get(&key) {
            return self.submit_known(record, submission);
        }
        self.submit_new(now, key, submission)
    }

    /// Marks a queued attempt as running.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt, which must not run: its deadline has passed, it has been
    /// cancelled, or it has started before.
    pub fn start(&mut self, now: Millis, ticket: Ticket, idempotent: bool) -> Result<(), Outcome> {
        let key = self.key(ticket, idempotent);
        let Some(record) = self.records.get_mut(&key) else {
            return Err(Outcome::failed(ErrorKind::Cancelled, Ran::Unknown));
        };
        match &record.state {
            RecordState::Queued if now < record.deadline => {
                record.state = RecordState::Running;
                Ok(())
            }
            RecordState::Queued => {
                let outcome = Outcome::failed(ErrorKind::DeadlineBeforeStart, Ran::No);
                record.state = RecordState::Done(outcome.clone());
                Err(outcome)
            }
            RecordState::Running => Err(Outcome::failed(ErrorKind::KeyInProgress, Ran::Unknown)),
            RecordState::Done(outcome) => Err(outcome.clone()),
        }
    }

    /// Records the outcome of a queued or running attempt. Returns false, and changes nothing, if
    /// there is an outcome already or no record.
    pub fn finish(&mut self, ticket: Ticket, idempotent: bool, outcome: Outcome) -> bool {
        let key = self.key(ticket, idempotent);
        let tombstone = self.guards.tombstone || outcome.ran != Ran::No;
        let kept = self.within_budget(outcome);
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        if matches!(record.state, RecordState::Done(_)) {
            return false;
        }
        self.answer_bytes += kept.data.as_ref().map_or(0, |data| data.len());
        record.state = RecordState::Done(kept);
        if !tombstone {
            self.remove(key);
        }
        true
    }

    /// Ensures that an attempt never starts, unless it has started already. An attempt that has not
    /// arrived yet gets a tombstone, so that it is refused when it does.
    pub fn bury(&mut self, now: Millis, submission: &Submission) -> BuryReply {
        let ticket = submission.ticket;
        if self.is_foreign(ticket) {
            return BuryReply::unchanged(Ran::Unknown);
        }
        self.prune(now);
        let key = self.key(ticket, submission.idempotent);
        let buried = Outcome::failed(ErrorKind::Cancelled, Ran::No);
        let record = self.records.get(&key);
        if record.is_some_and(|record| self.is_other_work(record, submission)) {
            return BuryReply::unchanged(Ran::No);
        }
        match record.map(|record| &record.state) {
            Some(RecordState::Done(outcome)) => BuryReply::unchanged(outcome.ran),
            Some(RecordState::Running) => BuryReply::unchanged(Ran::Unknown),
            Some(RecordState::Queued) => {
                self.finish(ticket, submission.idempotent, buried);
                BuryReply {
                    ran: Ran::No,
                    dequeued: true,
                }
            }
            None if self.may_have_pruned(now, submission.horizon) => {
                BuryReply::unchanged(Ran::Unknown)
            }
            None => {
                self.tombstone(key, submission, buried);
                BuryReply::unchanged(Ran::No)
            }
        }
    }

    /// Drops records that have an outcome and whose horizon and grace period have passed.
    pub fn prune(&mut self, now: Millis) {
        while let Some(first) = self.expiry.first().copied() {
            if first.at > now {
                return;
            }
            self.expiry.pop_first();
            self.prune_or_extend(now, first.key);
        }
    }

    /// Returns when [`AttemptLedger::prune`] must be called next; `None` without records.
    pub fn wake_at(&self) -> Option<Millis> {
        self.expiry.first().map(|expiry| expiry.at)
    }

    fn is_foreign(&self, ticket: Ticket) -> bool {
        self.guards.incarnation && ticket.incarnation != self.incarnation
    }

    fn key(&self, ticket: Ticket, idempotent: bool) -> RecordKey {
        let per_request = !idempotent && self.guards.request_identity;
        RecordKey {
            request: ticket.request,
            attempt: (!per_request).then_some(ticket.attempt),
        }
    }

    fn submit_known(&self, record: &Record, submission: &Submission) -> SubmitAction {
        if self.is_other_work(record, submission) {
            return SubmitAction::Refuse(ErrorKind::KeyReused, Ran::No);
        }
        match &record.state {
            RecordState::Done(outcome) => SubmitAction::Repeat(outcome.clone()),
            RecordState::Queued | RecordState::Running => SubmitAction::Attach,
        }
    }

    /// Returns whether the key belongs to a request with another body, so that this one never runs.
    fn is_other_work(&self, record: &Record, submission: &Submission) -> bool {
        self.guards.fingerprint && record.fingerprint != submission.fingerprint
    }

    fn submit_new(&mut self, now: Millis, key: RecordKey, submission: &Submission) -> SubmitAction {
        if self.may_have_pruned(now, submission.horizon) {
            return SubmitAction::Refuse(ErrorKind::DeadlineBeforeStart, Ran::Unknown);
        }
        if submission.horizon.since(now) > self.limits.max_horizon {
            return SubmitAction::Refuse(ErrorKind::BadRequest, Ran::Unknown);
        }
        if submission.horizon <= self.floors[self.floor_index(key)] {
            return SubmitAction::Refuse(ErrorKind::Cancelled, Ran::No);
        }
        if now >= submission.deadline.min(submission.horizon) {
            let outcome = Outcome::failed(ErrorKind::DeadlineBeforeStart, Ran::No);
            self.tombstone(key, submission, outcome);
            return SubmitAction::Refuse(ErrorKind::DeadlineBeforeStart, Ran::No);
        }
        if self.records.len() >= self.limits.capacity {
            self.raise_floor(key, submission.horizon);
            return SubmitAction::Refuse(ErrorKind::Overloaded, Ran::No);
        }
        self.insert(key, submission, RecordState::Queued);
        SubmitAction::Start
    }

    /// Returns whether a record with this horizon may have been dropped, so that the outcome of the
    /// request is not known.
    fn may_have_pruned(&self, now: Millis, horizon: Millis) -> bool {
        self.guards.pruned_records && now >= horizon.plus(self.limits.grace)
    }

    /// Records that an attempt did not run and never will, or raises the floor if the table is
    /// full.
    fn tombstone(&mut self, key: RecordKey, submission: &Submission, outcome: Outcome) {
        if !self.guards.tombstone {
            return;
        }
        if self.records.len() >= self.limits.capacity {
            return self.raise_floor(key, submission.horizon);
        }
        self.insert(key, submission, RecordState::Done(outcome));
    }

    /// Bars all requests with the same hash and a horizon up to this one. This may refuse requests
    /// that never came, but never runs one that was reported as not run.
    fn raise_floor(&mut self, key: RecordKey, horizon: Millis) {
        if !self.guards.refusal_floor {
            return;
        }
        let index = self.floor_index(key);
        self.floors[index] = self.floors[index].max(horizon);
    }

    fn floor_index(&self, key: RecordKey) -> usize {
        let id = key.request.0;
        ((id ^ (id >> 64)) as u64 % self.floors.len() as u64) as usize
    }

    fn insert(&mut self, key: RecordKey, submission: &Submission, state: RecordState) {
        let prune_at = submission.horizon.plus(self.limits.grace);
        let record = Record {
            state,
            deadline: submission.deadline.min(submission.horizon),
            prune_at,
            fingerprint: submission.fingerprint,
        };
        self.records.insert(key, record);
        self.expiry.insert(Expiry { at: prune_at, key });
    }

    fn remove(&mut self, key: RecordKey) {
        let Some(record) = self.records.swap_remove(&key) else {
            return;
        };
        self.expiry.remove(&Expiry {
            at: record.prune_at,
            key,
        });
        if let RecordState::Done(outcome) = record.state {
            self.answer_bytes -= outcome.data.map_or(0, |data| data.len());
        }
    }

    /// Drops a record that has an outcome; another one is checked again after the grace period.
    fn prune_or_extend(&mut self, now: Millis, key: RecordKey) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if matches!(record.state, RecordState::Done(_)) {
            return self.remove(key);
        }
        record.prune_at = now.plus(self.limits.grace).plus(Millis(1));
        self.expiry.insert(Expiry {
            at: record.prune_at,
            key,
        });
    }

    /// Removes the data of an outcome that doesn't fit into the limit for kept answers.
    fn within_budget(&self, mut outcome: Outcome) -> Outcome {
        let len = outcome.data.as_ref().map_or(0, |data| data.len());
        if self.answer_bytes + len > self.limits.answer_bytes {
            outcome.data = None;
        }
        outcome
    }
}

impl Hash for AttemptLedger {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.incarnation.hash(state);
        self.floors.hash(state);
        for expiry in &self.expiry {
            expiry.hash(state);
            self.records.get(&expiry.key).hash(state);
        }
    }
}
