//! Samples that wait until an endpoint serves their weight version.

use crate::entry::choose_call::ChooseCall;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::trainer_preference::TrainerPreference;

/// Longest time for which a sample waits for its version.
const HOLD_MAX: Millis = Millis(1000);

struct Hold {
    /// When the call goes on with an older version.
    until: Millis,
    call: ChooseCall,
}

/// Calls for the first attempt of samples whose contract prefers fresh weights to idle endpoints.
///
/// Holds at most one call for each sample in flight.
#[derive(Default)]
pub struct VersionHolds {
    holds: Vec<Hold>,
}

impl VersionHolds {
    /// Holds a call back if its contract prefers fresh weights and `newest`, the newest version that
    /// an endpoint serves, is older than the call's least version; otherwise returns the call.
    pub fn hold(
        &mut self,
        now: Millis,
        contract: &Contract,
        newest: Option<Version>,
        call: ChooseCall,
    ) -> Option<ChooseCall> {
        let may_wait =
            call.previous_failure.is_none() && contract.preference == TrainerPreference::Staleness;
        if !may_wait || newest >= call.min_version {
            return Some(call);
        }
        let until = now.plus(HOLD_MAX).min(call.deadline);
        self.holds.push(Hold { until, call });
        None
    }

    /// Removes and returns the calls whose version is served now, and those that have waited long
    /// enough; `newest` returns the newest version that an endpoint of a target serves.
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
