//! The choice of [`Policy::Product`](crate::policy::Policy::Product) among the endpoints that
//! accept work.

use crate::affinity_score::score;
use crate::choice_request::ChoiceRequest;
use crate::endpoint::{EndpointKey, Proximity};
use crate::endpoint_choice::{EndpointChoice, pick};
use crate::prelude::*;
use crate::trainer_preference::TrainerPreference;

/// Load up to which an endpoint without a free slot still gets its prefixes, in percent of the mean
/// load of its tier.
const BOUNDED_LOAD_PERCENT: u64 = 125;
/// Load of an endpoint whose slots are all in use, in percent.
const FULL_PERCENT: u64 = 100;

impl EndpointChoice {
    /// Chooses by health, weight version, expected wait, prefix and load, in this order. A
    /// criterion that no endpoint meets is skipped.
    pub(crate) fn choose_best(
        &self,
        now: Millis,
        req: &ChoiceRequest,
        usable: Vec<EndpointKey>,
    ) -> Option<EndpointKey> {
        let is_healthy = |key: &EndpointKey| self.is_in_traffic(now, *key, req.draw);
        let usable = prefer(usable, is_healthy);
        let usable = self.prefer_version(req, usable);
        let is_in_time = |key: &EndpointKey| now.plus(self.endpoint(*key).wait(now)) < req.deadline;
        let usable = prefer(usable, is_in_time);
        match req.prefix {
            Some(prefix) => self.choose_by_prefix(prefix, req, &usable),
            None => self.choose_by_proximity(req, &usable),
        }
    }

    /// Returns whether the endpoint is used for this random number. After an ejection that holds
    /// for a growing part of them.
    fn is_in_traffic(&self, now: Millis, key: EndpointKey, draw: u64) -> bool {
        let endpoint = self.endpoint(key);
        let percent = endpoint.health.weight_percent(now);
        percent == 100 || score(draw, endpoint.info.identity) % 100 < percent
    }

    fn prefer_version(&self, req: &ChoiceRequest, usable: Vec<EndpointKey>) -> Vec<EndpointKey> {
        if req.kind != WorkKind::Samples || req.preference != TrainerPreference::Staleness {
            return usable;
        }
        let newest = usable
            .iter()
            .filter_map(|key| self.endpoint(*key).version)
            .max();
        prefer(usable, |key| self.endpoint(*key).version == newest)
    }

    /// Chooses the endpoint with the greatest score for the prefix that is within the bounded load.
    /// Endpoints of other regions are used only if the one chosen in this region has no free slot.
    fn choose_by_prefix(
        &self,
        prefix: u64,
        req: &ChoiceRequest,
        usable: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let is_near = |key: &EndpointKey| self.endpoint(*key).info.proximity != Proximity::Remote;
        let near: Vec<EndpointKey> = usable.iter().copied().filter(is_near).collect();
        let preferred = self.best_for_prefix(prefix, &near);
        let is_free = |key: &EndpointKey| self.load_percent(*key) <= FULL_PERCENT;
        preferred
            .filter(is_free)
            .or_else(|| self.best_for_prefix(prefix, usable))
            .or_else(|| self.less_loaded_of_two(req.draw, usable))
    }

    fn best_for_prefix(&self, prefix: u64, tier: &[EndpointKey]) -> Option<EndpointKey> {
        let mean = self.mean_load_percent(tier);
        let has_room = |key: &&EndpointKey| self.is_within_bound(**key, mean);
        let rank = |key: &&EndpointKey| score(prefix, self.endpoint(**key).info.identity);
        tier.iter().filter(has_room).max_by_key(rank).copied()
    }

    /// Chooses the less loaded of two random endpoints of the nearest tier that has a free slot.
    fn choose_by_proximity(
        &self,
        req: &ChoiceRequest,
        usable: &[EndpointKey],
    ) -> Option<EndpointKey> {
        for farthest in [Proximity::Domain, Proximity::Region] {
            let is_near = |key: &EndpointKey| self.endpoint(*key).info.proximity <= farthest;
            let has_room = |key: &EndpointKey| self.load_percent(*key) <= FULL_PERCENT;
            let near = usable
                .iter()
                .copied()
                .filter(|it| is_near(it) && has_room(it));
            let tier: Vec<EndpointKey> = near.collect();
            if !tier.is_empty() {
                return self.less_loaded_of_two(req.draw, &tier);
            }
        }
        self.less_loaded_of_two(req.draw, usable)
    }

    fn less_loaded_of_two(&self, draw: u64, tier: &[EndpointKey]) -> Option<EndpointKey> {
        let first = pick(tier, draw)?;
        let others: Vec<EndpointKey> = tier.iter().copied().filter(|key| *key != first).collect();
        let second = pick(&others, score(draw, 1)).unwrap_or(first);
        let rank = |key: &EndpointKey| (self.load_percent(*key), self.endpoint(*key).in_flight);
        [first, second].into_iter().min_by_key(rank)
    }

    /// Returns whether the endpoint is within the bounded load. One more slot than the bound is
    /// allowed, and an endpoint with a free slot is always within it.
    fn is_within_bound(&self, key: EndpointKey, mean: u64) -> bool {
        let one_slot = FULL_PERCENT / u64::from(self.endpoint(key).capacity());
        let bound = mean * BOUNDED_LOAD_PERCENT / 100 + one_slot;
        self.load_percent(key) <= bound.max(FULL_PERCENT)
    }

    fn mean_load_percent(&self, tier: &[EndpointKey]) -> u64 {
        let slots: u64 = tier
            .iter()
            .map(|key| u64::from(self.endpoint(*key).capacity()))
            .sum();
        let used: u64 = tier
            .iter()
            .map(|key| u64::from(self.endpoint(*key).occupancy()))
            .sum();
        used * 100 / slots.max(1)
    }

    /// Returns the load of the endpoint with one more request, in percent of its slots.
    fn load_percent(&self, key: EndpointKey) -> u64 {
        let endpoint = self.endpoint(key);
        (u64::from(endpoint.occupancy()) + 1) * 100 / u64::from(endpoint.capacity())
    }
}

/// Returns the preferred keys, or all if none is preferred.
fn prefer(keys: Vec<EndpointKey>, is_preferred: impl Fn(&EndpointKey) -> bool) -> Vec<EndpointKey> {
    let preferred: Vec<EndpointKey> = keys.iter().copied().filter(is_preferred).collect();
    if preferred.is_empty() {
        keys
    } else {
        preferred
    }
}
