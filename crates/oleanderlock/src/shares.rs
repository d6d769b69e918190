//! Weighted fair shares of an endpoint, counted in tokens.
//!
//! Worst-case fair weighted queueing (WF2Q+, Bennett and Zhang 1996): each class has a virtual
//! start time that grows by tokens over weight, and a class is eligible while its start time is
//! not ahead of the system's virtual time. Unused shares are lent in proportion to the others.

use crate::prelude::*;
use bytes::Bytes;
use derive_more::Display;
use indexmap::IndexMap;

/// Virtual time units for one token at weight 1.
const TOKEN_UNITS: u64 = 1000;

/// Names a class in the table of one agent.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(u32);

impl ClassKey {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// What a contract grants to one class at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassGrant {
    /// Name of the class.
    pub name: Bytes,
    /// Share under contention, in percent.
    pub share_percent: u32,
    /// Bound on the latency; interactive work that is expected to break it is refused.
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

/// The shares of all classes at one endpoint.
///
/// Bounded by the classes in force plus the revoked ones that still have work.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    classes: Vec<Class>,
    by_name: IndexMap<Bytes, ClassKey>,
    virtual_time: u64,
}

impl Shares {
    /// Puts `grants` in force; classes that are not among them are revoked.
    pub fn set(&mut self, grants: &[ClassGrant]) {
        for class in &mut self.classes {
            class.granted = false;
        }
        self.by_name.clear();
        for grant in grants {
            let key = self.slot_of(&grant.name);
            let class = &mut self.classes[key.index()];
            class.weight = u64::from(grant.share_percent.max(1));
            class.latency_bound = grant.latency_bound;
            class.granted = true;
            self.by_name.insert(grant.name.clone(), key);
        }
    }

    fn slot_of(&mut self, name: &Bytes) -> ClassKey {
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

    /// Returns the class in force with the name.
    pub fn key(&self, name: &[u8]) -> Option<ClassKey> {
        self.by_name.get(name).copied()
    }

    /// Returns whether new work of the class may be admitted.
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

    /// Counts a request into the queue; `slack` is the lead in tokens that a class may have.
    pub fn enqueue(&mut self, key: ClassKey, slack: u64) {
        if self.classes[key.index()].queued == 0 {
            self.settle(key, slack);
        }
        self.classes[key.index()].queued += 1;
    }

    /// Counts a request out of the queue without a start.
    pub fn dequeue(&mut self, key: ClassKey) {
        self.classes[key.index()].queued -= 1;
    }

    /// Moves a request from the queue to a slot and charges its `cost`.
    pub fn start_queued(&mut self, key: ClassKey, cost: u64) {
        self.classes[key.index()].queued -= 1;
        self.charge(key, cost);
        self.classes[key.index()].running += 1;
    }

    /// Charges the `cost` of a request that gets a slot at once.
    pub fn start(&mut self, key: ClassKey, cost: u64, slack: u64) {
        if self.classes[key.index()].queued == 0 {
            self.settle(key, slack);
        }
        self.charge(key, cost);
        self.classes[key.index()].running += 1;
    }

    /// Counts the end of a request that was charged with `cost` and took `tokens`.
    pub fn finish(&mut self, key: ClassKey, cost: u64, tokens: u64) {
        let total = self.total_weight();
        let class = &mut self.classes[key.index()];
        class.running -= 1;
        class.start = corrected(class.start, cost, tokens, class.weight);
        self.virtual_time = corrected(self.virtual_time, cost, tokens, total);
        self.catch_up();
    }

    /// Returns whether the class is within its share, give or take `slack` tokens.
    pub fn is_eligible(&self, key: ClassKey, slack: u64) -> bool {
        let lead = units(slack, self.total_weight());
        self.virtual_start(key) <= self.virtual_time.saturating_add(lead)
    }

    /// Returns the virtual start time of the next request of the class.
    pub fn virtual_start(&self, key: ClassKey) -> u64 {
        self.classes[key.index()].start
    }

    /// Returns whether the class has had its share while another class waits for its own.
    pub fn is_exhausted(&self, key: ClassKey) -> bool {
        let own = self.virtual_start(key);
        let mut others = self.backlogged().filter(|other| *other != key);
        others.any(|other| self.virtual_start(other) < own)
    }

    /// Returns the part of the endpoint that the class gets while all others that have work now
    /// keep it, between 0 and 1.
    pub fn fraction(&self, key: ClassKey) -> f64 {
        let own = self.classes[key.index()].weight;
        let is_other = |index: usize| index != key.index();
        let active = self.classes.iter().enumerate();
        let others = active.filter(|(index, class)| is_other(*index) && class.is_active());
        let sum: u64 = others.map(|(_, class)| class.weight).sum();
        own as f64 / (own + sum) as f64
    }

    /// Returns the part of the endpoint that the contract grants to the class, between 0 and 1.
    pub fn granted_fraction(&self, key: ClassKey) -> f64 {
        self.classes[key.index()].weight as f64 / self.total_weight() as f64
    }

    /// Lists the classes with queued work.
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

    /// Forgives a class that had no queue both its unused share and what it borrowed.
    fn settle(&mut self, key: ClassKey, slack: u64) {
        let latest = self
            .virtual_time
            .saturating_add(units(slack, self.total_weight()));
        let class = &mut self.classes[key.index()];
        class.start = class.start.clamp(self.virtual_time, latest);
    }

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

fn units(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(TOKEN_UNITS) / weight
}

fn corrected(time: u64, cost: u64, tokens: u64, weight: u64) -> u64 {
    time.saturating_add(units(tokens, weight))
        .saturating_sub(units(cost, weight))
}
