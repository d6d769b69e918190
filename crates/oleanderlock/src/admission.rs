//! Admission to one endpoint: slots, queue, shares, deadlines.
//!
//! The agent is the only way to its endpoint, so what this part says is final. Work of a class
//! that is within its share goes first; among such classes interactive work, then the greater
//! priority, then the class that is furthest behind its share.

use crate::admission_queue::{AdmissionQueue, QueuedWork};
use crate::load::Load;
use crate::policy::Policy;
use crate::prelude::*;
use crate::service_time::ServiceTime;
use crate::shares::{ClassGrant, ClassKey, Shares};
use crate::work::{AdmissionAction, Refusal, Verdict, Work};
use indexmap::IndexMap;
use std::cmp::Reverse;

/// Time of the endpoint's service by which a class may run ahead of its share.
const SHARE_SLACK_MS: u64 = 250;
/// Time without interactive work after which its reserved slots are lent to samples.
const RESERVE_IDLE_MS: u64 = 10_000;
/// Part of the time left that the expected wait and service may use, in percent.
const HEADROOM_PERCENT: u64 = 80;
/// Shortest time to come back that a refusal names.
const MIN_RETRY_AFTER_MS: u64 = 10;
/// Longest time to come back that a refusal names.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Sizes of an admission part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Slots of the endpoint.
    pub capacity: usize,
    /// Most requests in the queue; each class may fill its share of it.
    pub queue_limit: usize,
    /// Slots that samples leave free while there is interactive work.
    pub interactive_reserve: usize,
    /// `Naive` turns off shares, priorities, the reserve and early refusal.
    pub policy: Policy,
}

impl AdmissionConfig {
    /// Queue places for each slot.
    const QUEUE_PER_SLOT: usize = 16;
    /// Slots for each one that is reserved for interactive work.
    const SLOTS_PER_RESERVED: usize = 8;

    /// Returns the product's sizes for an endpoint with `capacity` slots.
    pub fn for_capacity(capacity: usize) -> Self {
        let reserve = capacity.div_ceil(Self::SLOTS_PER_RESERVED);
        Self {
            capacity,
            queue_limit: capacity * Self::QUEUE_PER_SLOT,
            interactive_reserve: reserve.min(capacity.saturating_sub(1)),
            policy: Policy::Product,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    work: Work,
    service: Millis,
    since: Millis,
}

/// Decides which work may use one endpoint, and when.
///
/// Bounded by the capacity, the queue limit and the classes in force.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    shares: Shares,
    queue: AdmissionQueue,
    running: IndexMap<Ticket, Running>,
    running_samples: usize,
    service_times: IndexMap<ClassKey, ServiceTime>,
    service_time: ServiceTime,
    last_interactive: Option<Millis>,
    leaving: bool,
}

impl Admission {
    /// Creates the part without classes; [`Admission::set_classes`] must follow.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            shares: Shares::default(),
            queue: AdmissionQueue::default(),
            running: IndexMap::new(),
            running_samples: 0,
            service_times: IndexMap::new(),
            service_time: ServiceTime::default(),
            last_interactive: None,
            leaving: false,
        }
    }

    /// Puts the classes of the contracts in force; work of revoked ones that is queued or running
    /// is kept.
    pub fn set_classes(&mut self, grants: &[ClassGrant]) {
        self.shares.set(grants);
        let shares = &self.shares;
        self.service_times
            .retain(|class, _| shares.is_granted(*class));
    }

    /// Returns the class in force with the name. Keys hold until the next
    /// [`Admission::set_classes`].
    pub fn class(&self, name: &[u8]) -> Option<ClassKey> {
        self.shares.key(name)
    }

    /// Changes the number of slots; running work keeps its own.
    pub fn set_capacity(&mut self, now: Millis, capacity: usize) -> Vec<AdmissionAction> {
        let policy = self.cfg.policy;
        self.cfg = AdmissionConfig {
            policy,
            ..AdmissionConfig::for_capacity(capacity)
        };
        self.tick(now)
    }

    /// Decides on new work.
    pub fn submit(&mut self, now: Millis, work: Work) -> Verdict {
        if self.contains(work.ticket) {
            return Verdict::Duplicate;
        }
        if let Some(refusal) = self.outright_refusal(now, &work) {
            return Verdict::Refuse(refusal);
        }
        if work.kind == WorkKind::Interactive {
            self.last_interactive = Some(now);
        }
        if self.has_slot(now, work.kind) && self.queue.head(work.class).is_none() {
            let slack = self.slack();
            self.shares.start(work.class, work.cost, slack);
            self.occupy(now, work);
            return Verdict::Start;
        }
        if let Some(refusal) = self.early_refusal(now, &work) {
            return Verdict::Refuse(refusal);
        }
        self.enqueue(work);
        Verdict::Queued
    }

    /// Takes in that running work ended after `tokens` tokens, and fills its slot.
    pub fn finished(&mut self, now: Millis, ticket: Ticket, tokens: u64) -> Vec<AdmissionAction> {
        if let Some(running) = self.release(ticket, Some(tokens)) {
            let took = now.since(running.since);
            let cost = running.work.cost;
            let class = self.service_times.entry(running.work.class).or_default();
            class.record(cost, took);
            self.service_time.record(cost, took);
        }
        self.tick(now)
    }

    /// Forgets work that nobody waits for. For running work call this once the endpoint has
    /// stopped it, since it gives its slot away.
    pub fn cancelled(&mut self, now: Millis, ticket: Ticket) -> Vec<AdmissionAction> {
        self.drop_queued(ticket);
        self.release(ticket, None);
        self.tick(now)
    }

    /// Refuses queued work that can no longer meet its deadline and fills free slots.
    pub fn tick(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        while let Some(queued) = self.next(now) {
            let work = queued.work;
            self.queue.remove(work.ticket);
            self.shares.start_queued(work.class, work.cost);
            self.occupy(now, work);
            actions.push(AdmissionAction::Start(work.ticket));
        }
        actions
    }

    /// Returns when [`Admission::tick`] is due if nothing else happens before.
    pub fn next_tick(&self) -> Option<Millis> {
        let expiry = self.queue.next_expiry()?.plus(Millis(1));
        let reserve = self
            .last_interactive
            .map(|at| at.plus(Millis(RESERVE_IDLE_MS)));
        Some(reserve.map_or(expiry, |at| expiry.min(at.plus(Millis(1)))))
    }

    /// Takes no new work from now on. Queued work is refused as not run, so that another endpoint
    /// runs it while this one drains; running work goes on.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.any() {
            self.drop_queued(ticket);
            let refusal = Refusal {
                error: ErrorKind::Leaving,
                retry_after: Millis::ZERO,
            };
            actions.push(AdmissionAction::Refuse(ticket, refusal));
        }
        actions
    }

    /// Returns whether the attempt is queued or running.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.running.contains_key(&ticket) || self.queue.contains(ticket)
    }

    /// Returns whether nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the load, for reports to the entries.
    pub fn load(&self, now: Millis) -> Load {
        let is_full = self.running.len() >= self.cfg.capacity;
        let wait = match is_full {
            true => self.fluid_wait(self.queue.service_ms()) + self.first_slot(now),
            false => 0,
        };
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            capacity: self.cfg.capacity as u32,
            wait: Millis(wait),
        }
    }

    fn outright_refusal(&self, now: Millis, work: &Work) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal {
                error: ErrorKind::Leaving,
                retry_after: Millis::ZERO,
            });
        }
        if !self.shares.is_granted(work.class) {
            return Some(Refusal {
                error: ErrorKind::NoContract,
                retry_after: Millis::ZERO,
            });
        }
        (work.deadline <= now).then(|| self.late(now, work))
    }

    /// Refuses work that is not expected to end in time or that finds no room in the queue.
    fn early_refusal(&self, now: Millis, work: &Work) -> Option<Refusal> {
        let wait = self.expected_wait(now, work);
        if self.is_queue_full(work) {
            return Some(self.refusal(work, wait));
        }
        if !self.cfg.policy.has_shares() {
            return None;
        }
        let need = wait + self.service(work).0;
        let budget = self.time_left(now, work) / 100 * HEADROOM_PERCENT;
        (need > budget).then(|| self.refusal(work, need - budget))
    }

    fn is_queue_full(&self, work: &Work) -> bool {
        if !self.cfg.policy.has_shares() {
            return self.queue.len() >= self.cfg.queue_limit;
        }
        let limit = self.cfg.queue_limit as f64 * self.shares.granted_fraction(work.class);
        self.shares.queued(work.class) >= (limit as usize).max(1)
    }

    fn refusal(&self, work: &Work, retry_after: u64) -> Refusal {
        let error = match self.shares.is_exhausted(work.class) {
            true => ErrorKind::ShareExhausted,
            false => ErrorKind::Overloaded,
        };
        Refusal {
            error,
            retry_after: Millis(retry_after.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)),
        }
    }

    fn late(&self, now: Millis, work: &Work) -> Refusal {
        let wait = self.expected_wait(now, work);
        Refusal {
            error: ErrorKind::DeadlineBeforeStart,
            retry_after: Millis(wait.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)),
        }
    }

    fn time_left(&self, now: Millis, work: &Work) -> u64 {
        let left = work.deadline.since(now).0;
        match work.kind {
            WorkKind::Interactive => left.min(self.shares.latency_bound(work.class).0),
            WorkKind::Samples => left,
        }
    }

    /// Returns the wait in milliseconds that new work like `work` must expect: its class is at
    /// least served at its own share, and at most everything queued goes before it.
    fn expected_wait(&self, now: Millis, work: &Work) -> u64 {
        let ahead = self.queue.service_ms_ahead(work.class, work.priority);
        let own = self.fluid_wait(ahead) as f64 / self.shares.fraction(work.class);
        let all = self.fluid_wait(self.queue.service_ms());
        (own as u64).min(all) + self.first_slot(now)
    }

    fn fluid_wait(&self, service_ms: u64) -> u64 {
        service_ms / self.cfg.capacity.max(1) as u64
    }

    /// Returns the expected time until the first of the running requests ends: with remaining
    /// times spread evenly from zero, twice their mean over one more than their number.
    fn first_slot(&self, now: Millis) -> u64 {
        let count = self.running.len() as u64;
        let remaining = |running: &Running| running.service.since(now.since(running.since)).0;
        let sum: u64 = self.running.values().map(remaining).sum();
        sum * 2 / (count * (count + 1)).max(1)
    }

    fn service(&self, work: &Work) -> Millis {
        let of_class = self.service_times.get(&work.class);
        let known = of_class.filter(|times| !times.is_empty());
        known.unwrap_or(&self.service_time).estimate(work.cost)
    }

    fn has_slot(&self, now: Millis, kind: WorkKind) -> bool {
        let capacity = self.cfg.capacity;
        let is_free = self.running.len() < capacity;
        match kind {
            WorkKind::Interactive => is_free,
            WorkKind::Samples => {
                is_free && self.running_samples < capacity - self.reserve(now).min(capacity)
            }
        }
    }

    fn reserve(&self, now: Millis) -> usize {
        let is_recent = |at: Millis| now.since(at).0 <= RESERVE_IDLE_MS;
        let is_held = self.cfg.policy.has_shares() && self.last_interactive.is_some_and(is_recent);
        if is_held {
            self.cfg.interactive_reserve
        } else {
            0
        }
    }

    fn next(&self, now: Millis) -> Option<QueuedWork> {
        if self.running.len() >= self.cfg.capacity {
            return None;
        }
        if !self.cfg.policy.has_shares() {
            return self.queue.oldest().copied();
        }
        let slack = self.slack();
        let heads = self
            .shares
            .backlogged()
            .filter_map(|class| self.queue.head(class));
        let startable = heads.filter(|queued| self.has_slot(now, queued.work.kind));
        let first = startable.max_by_key(|queued| {
            let class = queued.work.class;
            let is_interactive = queued.work.kind == WorkKind::Interactive;
            (
                self.shares.is_eligible(class, slack),
                is_interactive,
                queued.work.priority,
                Reverse(self.shares.start_of(class)),
            )
        });
        first.copied()
    }

    fn slack(&self) -> u64 {
        let rate = self.service_time.tokens_per_second() * self.cfg.capacity as f64;
        (rate * SHARE_SLACK_MS as f64 / 1000.0) as u64
    }

    fn enqueue(&mut self, work: Work) {
        let service = self.service(&work);
        let latest_start = match self.cfg.policy.has_shares() {
            true => Millis(work.deadline.0.saturating_sub(service.0)),
            false => work.deadline,
        };
        let slack = self.slack();
        self.shares.enqueue(work.class, slack);
        self.queue.push(QueuedWork {
            work,
            service,
            latest_start,
        });
    }

    fn occupy(&mut self, now: Millis, work: Work) {
        if work.kind == WorkKind::Samples {
            self.running_samples += 1;
        }
        let running = Running {
            work,
            service: self.service(&work),
            since: now,
        };
        self.running.insert(work.ticket, running);
    }

    fn release(&mut self, ticket: Ticket, tokens: Option<u64>) -> Option<Running> {
        let running = self.running.swap_remove(&ticket)?;
        let work = running.work;
        if work.kind == WorkKind::Samples {
            self.running_samples -= 1;
        }
        self.shares
            .finish(work.class, work.cost, tokens.unwrap_or(work.cost));
        Some(running)
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        while let Some(ticket) = self.queue.expired(now) {
            if let Some(queued) = self.drop_queued(ticket) {
                let refusal = self.late(now, &queued.work);
                actions.push(AdmissionAction::Refuse(ticket, refusal));
            }
        }
    }

    fn drop_queued(&mut self, ticket: Ticket) -> Option<QueuedWork> {
        let queued = self.queue.remove(ticket)?;
        self.shares.dequeue(queued.work.class);
        Some(queued)
    }
}
