//! Samples that wait until an endpoint serves the version that they should have.

use crate::entry::entry_event::ChooseCall;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::trainer_preference::TrainerPreference;

/// Longest wait for the version.
const HOLD_MAX: Millis = Millis(1000);

struct Hold {
    until: Millis,
    call: ChooseCall,
}

/// First attempts of samples whose contract weighs staleness more than idle time.
///
/// Bounded by the samples in flight.
#[derive(Default)]
pub struct VersionHolds {
    holds: Vec<Hold>,
}

impl VersionHolds {
    /// Holds a call back if its contract weighs staleness more and `newest` is older than it
    /// wants; returns the call otherwise.
    pub fn hold(
        &mut self,
        now: Millis,
        contract: &Contract,
        newest: Option<Version>,
        call: ChooseCall,
    ) -> Option<ChooseCall> {
        let is_first =
            call.previous_failure.is_none() && contract.preference == TrainerPreference::Staleness;
        if !is_first || newest >= call.min_version {
            return Some(call);
        }
        let until = now.plus(HOLD_MAX).min(call.deadline);
        self.holds.push(Hold { until, call });
        None
    }

    /// Takes the calls whose version is served now or whose time is up.
    pub fn take_due(
        &mut self,
        now: Millis,
        newest: impl Fn(&[u8]) -> Option<Version>,
    ) -> Vec<ChooseCall> {
        let mut versions: IndexMap<Bytes, Option<Version>> = IndexMap::new();
        let is_due = |hold: &mut Hold| {
            let target = &hold.call.target;
            let version = versions.entry(target.clone());
            let version = *version.or_insert_with(|| newest(target));
            version >= hold.call.min_version || now >= hold.until
        };
        let due = self.holds.extract_if(.., is_due);
        due.map(|hold| hold.call).collect()
    }
}
