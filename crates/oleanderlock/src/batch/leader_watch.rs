//! When a standby dispatcher takes the place of the leader.
//!
//! Taking over is safe at any time: the conditional create of the next chunk of the result log
//! decides who lists results. So the rule only weighs a short pause against needless changes. A
//! standby that can't reach the leader may itself be the one that is cut off, so it also looks for
//! the leader's pulse in the store. While the store is away too, a lost leader has no pulse that
//! could be seen to stand still; then one more probe after the store's return tells whether the
//! standby had been cut off from both.

use super::leader_probe::LeaderProbe;
use super::pulse_verdict::PulseVerdict;
use crate::prelude::*;

/// Probes in a row without an answer after which a leader counts as gone.
const MISSES_BEFORE_TAKE_OVER: u32 = 3;
/// Time for which a leader may be without the store before a standby tries to take over.
const STORE_AGE_MAX: Millis = Millis(2000);
/// Time without a new pulse after which a leader that does not answer counts as gone; a leader
/// writes one each 0.8 s.
const PULSE_AGE_MAX: Millis = Millis(1300);
/// Time without an answer of the leader, nor of the store, after which the first answer of the
/// store calls for one more probe in place of a second look; a cut-off machine is back together
/// with both.
const SILENCE_BEFORE_REPROBE: Millis = Millis(3000);

/// Watches the leader from a standby.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderWatch {
    misses: u32,
    first_miss: Millis,
    pulse: Option<(u64, Millis)>,
}

impl LeaderWatch {
    /// Starts anew, as after a change of the leader.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how many probes in a row brought no answer of a leader that can list results.
    pub fn misses(&self) -> u32 {
        self.misses
    }

    /// Takes a probe; returns whether to look for the leader's pulse in the store.
    pub fn record_probe(&mut self, now: Millis, probe: LeaderProbe) -> bool {
        let missed = match probe {
            LeaderProbe::NoAnswer | LeaderProbe::NotLeading => true,
            LeaderProbe::Leading { store_age } => store_age > STORE_AGE_MAX,
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

    /// Takes the number of the leader's last pulse as the store has it now.
    pub fn record_pulse(&mut self, now: Millis, number: u64) -> PulseVerdict {
        match self.pulse {
            Some((known, at)) if known == number => {
                let is_gone =
                    self.misses >= MISSES_BEFORE_TAKE_OVER && now.since(at) >= PULSE_AGE_MAX;
                if is_gone {
                    PulseVerdict::TakeOver
                } else {
                    PulseVerdict::Wait
                }
            }
            Some(_) => {
                // It lives; only this process does not reach it.
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
