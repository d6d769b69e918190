//! Protocol by which one process at a time holds a duty.

use super::duty_record::DutyRecord;
use super::duty_write::DutyWrite;
use crate::prelude::*;

/// Added to the lease before the first call of a holder, for calls of its predecessor that are still
/// on their way.
const LEASE_MARGIN: Millis = Millis(500);
/// Time after the start of the last successful write within which calls may be sent. A successor
/// waits for longer after its first write.
const FRESH_FOR: Millis = Millis(1000);

/// One tenure of a holder of a duty.
///
/// The platform checks no fence, so a holder must know by itself that no other one acts. Each holder
/// writes the record before it calls, and waits after taking the duty until no call of the previous
/// holder can follow.
#[derive(Clone, Debug)]
pub struct DutyHolder<S> {
    node: String,
    lease: Millis,
    // The record and its revision, as last read or written; `None` if there is none.
    known: Option<(DutyRecord<S>, u64)>,
    needs_read: bool,
    // Record of a write without an answer, and the start of the write.
    unanswered: Option<(DutyRecord<S>, Millis)>,
    // Fence of the first write, which may have taken effect.
    tried: Option<u64>,
    held: Option<u64>,
    over: bool,
    acts_from: Millis,
    written_at: Option<Millis>,
}

impl<S: Clone + PartialEq> DutyHolder<S> {
    /// Returns a holder named `node` that has not taken the duty yet.
    pub fn new(node: &str, lease: Millis) -> Self {
        Self {
            node: node.to_owned(),
            lease,
            known: None,
            needs_read: true,
            unanswered: None,
            tried: None,
            held: None,
            over: false,
            acts_from: Millis::MAX,
            written_at: None,
        }
    }

    /// Whether the record must be read before anything else.
    pub fn needs_read(&self) -> bool {
        self.needs_read
    }

    /// Whether the tenure is over: another holder has taken the duty.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Returns the fence with which the duty is held; `None` before it is taken and after its end.
    pub fn fence(&self) -> Option<u64> {
        self.held.filter(|_| !self.over)
    }

    /// Returns the state in the record, as last read or written; `None` if there is none.
    pub fn state(&self) -> Option<&S> {
        self.known.as_ref().map(|(record, _)| &record.state)
    }

    /// Returns the record, as last read or written.
    pub fn record(&self) -> Option<&DutyRecord<S>> {
        self.known.as_ref().map(|(record, _)| record)
    }

    /// Returns the time before which the holder sends no call.
    pub fn acts_from(&self) -> Millis {
        self.acts_from
    }

    /// Whether the last write is recent enough for a call.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.written_at.is_some_and(|at| now.since(at) < FRESH_FOR)
    }

    /// Whether a call may be sent now.
    pub fn may_act(&self, now: Millis) -> bool {
        self.fence().is_some() && !self.needs_read && now >= self.acts_from && self.is_fresh(now)
    }

    /// Takes the record and its revision, as read by a call that was answered at `now`.
    pub fn record_read(&mut self, now: Millis, found: Option<(DutyRecord<S>, u64)>) {
        self.needs_read = false;
        let found_fence = found.as_ref().map(|(record, _)| record.fence);
        let is_own = found
            .as_ref()
            .is_some_and(|(record, _)| record.holder == self.node);
        let own = |fence: Option<u64>| fence.is_some() && is_own && fence == found_fence;
        if self.held.is_some() {
            self.over |= !own(self.held);
        } else if own(self.tried) {
            self.hold(now);
        } else if let Some(tried) = self.tried {
            // Another one was faster, unless the write took no effect and may be repeated.
            self.over |= found_fence.is_some_and(|fence| fence >= tried);
        }
        let unanswered = self.unanswered.take();
        if let (Some((record, _)), Some((written, began))) = (&found, unanswered)
            && *record == written
            && self.fence().is_some()
        {
            self.written_at = Some(began);
        }
        self.known = found;
    }

    /// Returns the write that takes the duty; `initial` is the state if there is no record.
    pub fn take(&mut self, initial: S) -> DutyWrite<S> {
        let (fence, revision, state) = match &self.known {
            Some((record, revision)) => (record.fence + 1, Some(*revision), record.state.clone()),
            None => (1, None, initial),
        };
        self.tried = Some(fence);
        self.write_with(revision, fence, state)
    }

    /// Returns the write of a new state; `None` if the duty is not held.
    pub fn write(&self, state: S) -> Option<DutyWrite<S>> {
        let fence = self.fence()?;
        let revision = self.known.as_ref().map(|(_, revision)| *revision);
        Some(self.write_with(revision, fence, state))
    }

    /// Records that a write that began at `began` has taken effect.
    pub fn record_written(
        &mut self,
        began: Millis,
        now: Millis,
        write: DutyWrite<S>,
        revision: u64,
    ) {
        if self.held.is_none() {
            self.hold(now);
        }
        self.written_at = Some(began);
        self.known = Some((write.record, revision));
    }

    /// Records that a write conflicted: the record decides. It may be an earlier write of this holder
    /// that took effect late.
    pub fn record_conflict(&mut self) {
        self.needs_read = true;
    }

    /// Records that the effect of a write that began at `began` is not known: the record decides.
    pub fn record_unanswered(&mut self, began: Millis, write: DutyWrite<S>) {
        self.needs_read = true;
        self.unanswered = Some((write.record, began));
    }

    fn hold(&mut self, now: Millis) {
        self.held = self.tried;
        self.acts_from = now.plus(self.lease).plus(LEASE_MARGIN);
    }

    fn write_with(&self, revision: Option<u64>, fence: u64, state: S) -> DutyWrite<S> {
        DutyWrite {
            revision,
            record: DutyRecord {
                holder: self.node.clone(),
                fence,
                state,
            },
        }
    }
}
