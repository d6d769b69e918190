//! Weighted fair shares of an endpoint, counted in tokens.
//!
//! Implements worst-case fair weighted queueing (WF2Q+, Bennett and Zhang 1996): the virtual start
//! time of a class grows by tokens over weight, and a class is eligible while its start time is not
//! ahead of the system's virtual time. Capacity that a class doesn't use goes to the others in
//! proportion to their weights.

use crate::prelude::*;
use bytes::Bytes;
use derive_more::Display;
use indexmap::IndexMap;

/// Units of virtual time for one token at weight 1, so that integer division keeps precision.
const TOKEN_UNITS: u64 = 1000;

/// Identifies a class at one agent. Keys of revoked classes are reused.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(u32);

impl ClassKey {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// The share and latency bound that a contract grants to one class at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassGrant {
    /// Name of the class, unique at the agent.
    pub name: Bytes,
    /// Share of the endpoint's tokens under contention, in percent.
    pub share_percent: u32,
    /// Bound on the latency; interactive work that is expected to exceed it is refused.
    pub latency_bound: Millis,
}

#[derive(Clone, Debug)]
struct Class {
    name: Bytes,
    weight: u64,
    latency_bound: Millis,
    granted: bool,
    start: u64,
    queued: usize,
    running: usize,
}

/// Accounts tokens of all classes at one endpoint against their shares.
///
/// The table holds the granted classes and the revoked ones that still have work.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    classes: Vec<Class>,
    by_name: IndexMap<Bytes, ClassKey>,
    virtual_time: u64,
}

impl Shares {
    /// Replaces the grants; classes that are not among `grants` are revoked.
    pub fn set(&mut self, grants: &[ClassGrant]) {
        for class in &mut self.classes {
            class.granted = false;
        }
        self.by_name.clear();
        for grant in grants {
            let key = self.key_for(&grant.name);
            let class = &mut self.classes[key.index()];
            class.weight = u64::from(grant.share_percent.max(1));
            class.latency_bound = grant.latency_bound;
            class.granted = true;
            self.by_name.insert(grant.name.clone(), key);
        }
    }

    /// Returns the key of a class, which gets a free table entry if it is new.
    fn key_for(&mut self, name: &Bytes) -> ClassKey {
        let known = self.classes.iter().position(|class| class.name == name);
        let free = || self.classes.iter().position(Class::is_free);
        let fresh = Class::new(name.clone(), self.virtual_time);
        let index = match known.or_else(free) {
            Some(index) if self.classes[index].name == name => index,
            Some(index) => {
                self.classes[index] = fresh;
                index
            }
            None => {
                self.classes.push(fresh);
                self.classes.len() - 1
            }
        };
        ClassKey(u32::try_from(index).expect("fewer classes than 2^32"))
    }

    /// Returns the key of the class with this name; `None` if no contract grants it.
    pub fn key(&self, name: &[u8]) -> Option<ClassKey> {
        self.by_name.get(name).copied()
    }

    /// Returns whether a contract grants the class, so that new work of it may be admitted.
    pub fn is_granted(&self, key: ClassKey) -> bool {
        self.classes
            .get(key.index())
            .is_some_and(|class| class.granted)
    }

    /// Returns the latency bound of the class.
    pub fn latency_bound(&self, key: ClassKey) -> Millis {
        self.classes[key.index()].latency_bound
    }

    /// Returns the number of queued requests of the class.
    pub fn queued(&self, key: ClassKey) -> usize {
        self.classes[key.index()].queued
    }

    /// Counts a request that enters the queue. `slack` is the lead over its share that a class may
    /// keep, in tokens of the endpoint.
    pub fn enqueue(&mut self, key: ClassKey, slack: u64) {
        if self.classes[key.index()].queued == 0 {
            self.clamp_start(key, slack);
        }
        self.classes[key.index()].queued += 1;
    }

    /// Counts a request that leaves the queue without being started.
    pub fn dequeue(&mut self, key: ClassKey) {
        self.classes[key.index()].queued -= 1;
    }

    /// Counts a queued request as running and charges its estimated `cost` in tokens.
    pub fn start_queued(&mut self, key: ClassKey, cost: u64) {
        self.classes[key.index()].queued -= 1;
        self.charge(key, cost);
        self.classes[key.index()].running += 1;
    }

    /// Counts a request that starts without queueing and charges its estimated `cost` in tokens;
    /// `slack` as in [`Shares::enqueue`].
    pub fn start(&mut self, key: ClassKey, cost: u64, slack: u64) {
        if self.classes[key.index()].queued == 0 {
            self.clamp_start(key, slack);
        }
        self.charge(key, cost);
        self.classes[key.index()].running += 1;
    }

    /// Counts the end of a request, and replaces the charged `cost` by the `tokens` it took.
    pub fn finish(&mut self, key: ClassKey, cost: u64, tokens: u64) {
        let total = self.total_weight();
        let class = &mut self.classes[key.index()];
        class.running -= 1;
        class.start = corrected(class.start, cost, tokens, class.weight);
        self.virtual_time = corrected(self.virtual_time, cost, tokens, total);
        self.catch_up();
    }

    /// Returns whether the class is at most `slack` tokens of the endpoint ahead of its share.
    pub fn is_eligible(&self, key: ClassKey, slack: u64) -> bool {
        let lead = units(slack, self.total_weight());
        self.virtual_start(key) <= self.virtual_time.saturating_add(lead)
    }

    /// Returns the virtual start time of the next request of the class.
    pub fn virtual_start(&self, key: ClassKey) -> u64 {
        self.classes[key.index()].start
    }

    /// Returns whether another class with queued work is further behind its share than this one.
    pub fn is_exhausted(&self, key: ClassKey) -> bool {
        let own = self.virtual_start(key);
        let mut others = self.backlogged().filter(|other| *other != key);
        others.any(|other| self.virtual_start(other) < own)
    }

    /// Returns the fraction of the endpoint, from 0 to 1, that the class gets while exactly the
    /// other classes that have work now stay busy.
    pub fn fraction(&self, key: ClassKey) -> f64 {
        let own = self.classes[key.index()].weight;
        let is_other = |index: usize| index != key.index();
        let active = self.classes.iter().enumerate();
        let others = active.filter(|(index, class)| is_other(*index) && class.is_active());
        let sum: u64 = others.map(|(_, class)| class.weight).sum();
        own as f64 / (own + sum) as f64
    }

    /// Returns the fraction of the endpoint, from 0 to 1, that the contract grants to the class.
    pub fn granted_fraction(&self, key: ClassKey) -> f64 {
        self.classes[key.index()].weight as f64 / self.total_weight() as f64
    }

    /// Iterates over the classes with queued work.
    pub fn backlogged(&self) -> impl Iterator<Item = ClassKey> + '_ {
        let classes = self.classes.iter().enumerate();
        classes
            .filter(|(_, class)| class.queued > 0)
            .map(|(index, _)| ClassKey(index as u32))
    }

    fn charge(&mut self, key: ClassKey, cost: u64) {
        let total = self.total_weight();
        let class = &mut self.classes[key.index()];
        class.start = class.start.saturating_add(units(cost, class.weight));
        self.virtual_time = self.virtual_time.saturating_add(units(cost, total));
        self.catch_up();
    }

    /// Moves the start time of a class without a queue into the range from the virtual time to
    /// `slack` ahead of it: an idle class neither saves up its unused share nor pays back more than
    /// `slack` of what it used beyond it.
    fn clamp_start(&mut self, key: ClassKey, slack: u64) {
        let latest = self
            .virtual_time
            .saturating_add(units(slack, self.total_weight()));
        let class = &mut self.classes[key.index()];
        class.start = class.start.clamp(self.virtual_time, latest);
    }

    /// Advances the virtual time to the earliest start time of a class with queued work, since one
    /// of them must always be eligible.
    fn catch_up(&mut self) {
        let first = self.backlogged().map(|key| self.virtual_start(key)).min();
        self.virtual_time = self.virtual_time.max(first.unwrap_or(0));
    }

    fn total_weight(&self) -> u64 {
        let granted = self.classes.iter().filter(|class| class.granted);
        granted.map(|class| class.weight).sum::<u64>().max(1)
    }
}

impl Class {
    fn new(name: Bytes, start: u64) -> Self {
        Self {
            name,
            weight: 1,
            latency_bound: Millis::MAX,
            granted: false,
            start,
            queued: 0,
            running: 0,
        }
    }

    fn is_active(&self) -> bool {
        self.queued > 0 || self.running > 0
    }

    fn is_free(&self) -> bool {
        !self.granted && !self.is_active()
    }
}

/// Returns the virtual time that `tokens` take at `weight`.
fn units(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(TOKEN_UNITS) / weight
}

/// Replaces the charge of `cost` tokens in `time` by one of `tokens`.
fn corrected(time: u64, cost: u64, tokens: u64, weight: u64) -> u64 {
    time.saturating_add(units(tokens, weight))
        .saturating_sub(units(cost, weight))
}
