//! Failure detection of the leading dispatcher by a standby.
//!
//! A takeover is safe at any time: the conditional create of the next chunk of the result log
//! decides which dispatcher lists results. So this only balances a short interruption against
//! needless changes of leader.
//!
//! A standby that can't reach the leader may itself be partitioned, so it also checks the leader's
//! pulse, a counter that the leader keeps increasing in the store. During an outage of the store a
//! stopped pulse can't be observed; then one more probe after the outage shows whether the standby
//! had been cut off from both.

use super::leader_probe::LeaderProbe;
use super::pulse_verdict::PulseVerdict;
use crate::prelude::*;

/// Consecutive missed probes after which a leader may count as lost.
const MISSES_BEFORE_TAKE_OVER: u32 = 3;
/// A probe counts as missed if the probed leader has had no answer of the store for longer than
/// this.
const STORE_SILENCE_MAX: Millis = Millis(2000);
/// Time without a new pulse after which a leader that does not answer counts as lost; a leader
/// writes a pulse every 0.8 s.
const PULSE_AGE_MAX: Millis = Millis(1300);
/// If the first pulse is read this long after the first missed probe, the leader is probed once
/// more instead of waiting for a second pulse. For so long the standby had no answer of the store
/// either, so probably its own machine was partitioned; the store answers again, and if that was
/// the cause, so does the leader.
const SILENCE_BEFORE_REPROBE: Millis = Millis(3000);

/// Missed probes and pulses of the leader, as observed by a standby.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderWatch {
    misses: u32,
    first_miss: Millis,
    /// Number of the last pulse and the time at which it was first seen.
    pulse: Option<(u64, Millis)>,
}

impl LeaderWatch {
    /// Discards all observations, as after a change of leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of consecutive probes without an answer of a leader that reaches the store.
    pub fn misses(&self) -> u32 {
        self.misses
    }

    /// Records a probe; returns whether it was missed, so that the pulse must be read.
    pub fn record_probe(&mut self, now: Millis, probe: LeaderProbe) -> bool {
        let missed = match probe {
            LeaderProbe::NoAnswer | LeaderProbe::NotLeading => true,
            LeaderProbe::Leading { store_age } => store_age > STORE_SILENCE_MAX,
        };
        if !missed {
            self.reset();
            return false;
        }
        if self.misses == 0 {
            self.first_miss = now;
        }
        self.misses += 1;
        true
    }

    /// Records the number of the leader's pulse as read from the store, and decides what to do.
    pub fn record_pulse(&mut self, now: Millis, number: u64) -> PulseVerdict {
        match self.pulse {
            Some((known, at)) if known == number => {
                let is_lost =
                    self.misses >= MISSES_BEFORE_TAKE_OVER && now.since(at) >= PULSE_AGE_MAX;
                if is_lost {
                    PulseVerdict::TakeOver
                } else {
                    PulseVerdict::Wait
                }
            }
            Some(_) => {
                // The leader is alive; only this process does not reach it.
                self.pulse = Some((number, now));
                self.misses = 1;
                PulseVerdict::Wait
            }
            None => {
                self.pulse = Some((number, now));
                if now.since(self.first_miss) >= SILENCE_BEFORE_REPROBE {
                    PulseVerdict::ProbeAgain
                } else {
                    PulseVerdict::Wait
                }
            }
        }
    }
}
