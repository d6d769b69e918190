//! What one process knows of one other instance.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Earlier incarnations that are remembered, so that a late message of one changes nothing.
const PAST_INCARNATIONS: usize = 4;

/// Whether an instance may be used.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It takes new work.
    There,
    /// It finishes what it has and takes no new work.
    Leaving,
    /// It was silent or its link broke; it gets no new work until it is heard again.
    Suspected,
    /// It was silent for long and answered no probe.
    Gone,
}

/// One instance as one observer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its failure domain; empty until the list names it.
    pub domain: String,
    /// The incarnation heard last; `None` before the first message.
    pub incarnation: Option<Incarnation>,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Whether the platform's list names it.
    pub listed: bool,
    pub(crate) leaving: bool,
    pub(crate) heard_at: Millis,
    pub(crate) probe_at: Millis,
    pub(crate) probe_wait: Millis,
    pub(crate) probed: bool,
    past: Vec<Incarnation>,
}

impl Member {
    pub(crate) fn new(now: Millis, domain: &str, listed: bool) -> Self {
        Self {
            domain: domain.to_owned(),
            incarnation: None,
            state: MemberState::There,
            listed,
            leaving: false,
            heard_at: now,
            probe_at: now,
            probe_wait: Millis::ZERO,
            probed: false,
            past: Vec::new(),
        }
    }

    /// Takes the incarnation of a message; returns false for one of an earlier start.
    pub(crate) fn meet(&mut self, incarnation: Incarnation) -> bool {
        if self.incarnation == Some(incarnation) {
            return true;
        }
        if self.past.contains(&incarnation) {
            return false;
        }
        if let Some(earlier) = self.incarnation.replace(incarnation) {
            self.past.push(earlier);
            let excess = self.past.len().saturating_sub(PAST_INCARNATIONS);
            self.past.drain(..excess);
            // Only the earlier start said that it leaves.
            self.leaving = false;
        }
        true
    }

    /// Returns the state of an instance that was heard just now.
    pub(crate) fn state_when_heard(&self) -> MemberState {
        if self.leaving {
            return MemberState::Leaving;
        }
        MemberState::There
    }
}
