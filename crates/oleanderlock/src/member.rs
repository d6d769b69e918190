//! What one process knows about one other instance.

use crate::member_state::MemberState;
use crate::prelude::*;

/// Earlier incarnations kept per member, so that a late message from one of them is ignored.
const MAX_PAST_INCARNATIONS: usize = 4;

/// One instance, as one observer sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Failure domain of the instance; empty until the platform's list names it.
    pub domain: String,
    /// The incarnation of the latest message; `None` before the first message.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Whether the platform's list names it.
    pub listed: bool,
    pub(crate) leaving: bool,
    /// Time of the latest message, shifted by pauses of the observer.
    pub(crate) last_message_at: Millis,
    pub(crate) next_probe_at: Millis,
    pub(crate) probe_wait: Millis,
    /// Whether a probe was sent since the latest message.
    pub(crate) probed: bool,
    past_incarnations: Vec<Incarnation>,
}

impl Member {
    pub(crate) fn new(now: Millis, domain: &str, listed: bool) -> Self {
        Self {
            domain: domain.to_owned(),
            incarnation: None,
            state: MemberState::Available,
            listed,
            leaving: false,
            last_message_at: now,
            next_probe_at: now,
            probe_wait: Millis::ZERO,
            probed: false,
            past_incarnations: Vec::new(),
        }
    }

    /// Records the incarnation of a message; returns false if it belongs to an earlier start of
    /// the instance.
    pub(crate) fn accept_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if self.incarnation == Some(incarnation) {
            return true;
        }
        if self.past_incarnations.contains(&incarnation) {
            return false;
        }
        if let Some(earlier) = self.incarnation.replace(incarnation) {
            self.past_incarnations.push(earlier);
            let excess = self
                .past_incarnations
                .len()
                .saturating_sub(MAX_PAST_INCARNATIONS);
            self.past_incarnations.drain(..excess);
            // Only the earlier incarnation announced that it leaves.
            self.leaving = false;
        }
        true
    }

    /// Returns the state of an instance that has just sent a message.
    pub(crate) fn reachable_state(&self) -> MemberState {
        if self.leaving {
            return MemberState::Leaving;
        }
        MemberState::Available
    }
}
