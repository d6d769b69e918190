//! Admission control for one endpoint: slots, queue, shares and deadlines.
//!
//! All requests reach an endpoint through its agent, so the decision made here is binding. Queued
//! work is ordered by: classes within their share before others, interactive work before samples,
//! greater priority, and then the class that is furthest behind its share.

use crate::admission_config::AdmissionConfig;
use crate::admission_queue::{AdmissionQueue, QueuedWork};
use crate::endpoint_slots::EndpointSlots;
use crate::load::Load;
use crate::prelude::*;
use crate::running_work::RunningWork;
use crate::service_time_models::ServiceTimeModels;
use crate::shares::{ClassGrant, ClassKey, Shares};
use crate::work::{AdmissionAction, Refusal, Verdict, Work};
use std::cmp::Reverse;

/// Lead that a class may have over its share, as service time of the whole endpoint.
const SHARE_SLACK_MS: u64 = 250;
/// Part of the time until the deadline that the expected wait and service may use.
const HEADROOM_PERCENT: u64 = 80;
/// Lower bound of a refusal's `retry_after`.
const MIN_RETRY_AFTER_MS: u64 = 10;
/// Upper bound of a refusal's `retry_after`.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Decides which work may use one endpoint, and when.
///
/// Memory is bounded by the capacity, the queue limits and the number of granted classes.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    shares: Shares,
    queue: AdmissionQueue,
    slots: EndpointSlots,
    service_models: ServiceTimeModels,
    leaving: bool,
}

impl Admission {
    /// Creates an admission control without classes, which refuses all work until
    /// [`Admission::set_classes`] is called.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            shares: Shares::default(),
            queue: AdmissionQueue::default(),
            slots: EndpointSlots::new(cfg),
            service_models: ServiceTimeModels::default(),
            leaving: false,
        }
    }

    /// Replaces the classes by those of the current contracts. Work of revoked classes that is
    /// already queued or running is kept.
    pub fn set_classes(&mut self, grants: &[ClassGrant]) {
        self.shares.set(grants);
        let shares = &self.shares;
        self.service_models.retain(|class| shares.is_granted(class));
    }

    /// Returns the key of the class with this name; `None` if no contract grants it. The key is valid
    /// until the next call of [`Admission::set_classes`].
    pub fn class(&self, name: &[u8]) -> Option<ClassKey> {
        self.shares.key(name)
    }

    /// Changes the number of slots and the limits that depend on it. Running work keeps its slots,
    /// also beyond a smaller capacity.
    pub fn set_capacity(&mut self, now: Millis, capacity: usize) -> Vec<AdmissionAction> {
        let policy = self.cfg.policy;
        self.cfg = AdmissionConfig {
            policy,
            ..AdmissionConfig::for_capacity(capacity)
        };
        self.slots.resize(self.cfg);
        self.tick(now)
    }

    /// Starts, queues or refuses new work.
    pub fn submit(&mut self, now: Millis, work: Work) -> Verdict {
        if self.contains(work.ticket) {
            return Verdict::Duplicate;
        }
        if let Some(refusal) = self.outright_refusal(now, &work) {
            return Verdict::Refuse(refusal);
        }
        self.slots.record_arrival(now, work.kind);
        if self.slots.has_free(now, work.kind) && self.queue.head(work.class).is_none() {
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

    /// Records that running work ended after `tokens` tokens, and starts queued work in its slot.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, tokens: u64) -> Vec<AdmissionAction> {
        if let Some(running) = self.release(ticket, Some(tokens)) {
            let took = now.since(running.since);
            self.service_models.record(&running.work, took);
        }
        self.tick(now)
    }

    /// Drops queued or running work whose result is no longer needed. Running work must have been
    /// stopped at the endpoint before, since its slot is reused.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) -> Vec<AdmissionAction> {
        self.drop_queued(ticket);
        self.release(ticket, None);
        self.tick(now)
    }

    /// Refuses queued work that can no longer meet its deadline, and starts queued work in free
    /// slots.
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

    /// Returns when [`Admission::tick`] must be called unless another call comes first; `None`
    /// while nothing is queued.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let expiry = self.queue.next_expiry()?.plus(Millis(1));
        let reserve_end = self.slots.reserve_end(now);
        Some(reserve_end.map_or(expiry, |end| expiry.min(end)))
    }

    /// Starts to drain: refuses new work from now on. Queued work is refused as not run, so that
    /// it can be retried at another endpoint; running work continues.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.any_ticket() {
            self.drop_queued(ticket);
            let refusal = Refusal {
                error: ErrorKind::Leaving,
                retry_after: Millis::ZERO,
            };
            actions.push(AdmissionAction::Refuse(ticket, refusal));
        }
        actions
    }

    /// Returns whether the attempt is queued or running here.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.slots.contains(ticket) || self.queue.contains(ticket)
    }

    /// Returns whether nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.queue.is_empty()
    }

    /// Returns the current load, as it is reported to entries.
    pub fn load(&self, now: Millis) -> Load {
        let wait = match self.slots.is_full() {
            true => {
                self.fluid_wait(self.queue.service_ms()) + self.slots.expected_first_end_ms(now)
            }
            false => 0,
        };
        Load {
            running: self.slots.len() as u32,
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
        (work.deadline <= now).then(|| self.deadline_refusal(now, work))
    }

    /// Refuses work that finds the queue full or is not expected to end in time.
    fn early_refusal(&self, now: Millis, work: &Work) -> Option<Refusal> {
        let wait = self.expected_wait(now, work);
        if self.is_queue_full(work) {
            return Some(self.refusal(work, wait));
        }
        if !self.cfg.policy.has_shares() {
            return None;
        }
        let need = wait + self.service_models.estimate(work).0;
        let budget = self.time_left(now, work) / 100 * HEADROOM_PERCENT;
        (need > budget).then(|| self.refusal(work, need - budget))
    }

    fn is_queue_full(&self, work: &Work) -> bool {
        if !self.cfg.policy.has_shares() {
            return self.queue.len() >= self.cfg.queue_limit;
        }
        let limit = match work.kind {
            WorkKind::Interactive => self.cfg.queue_limit,
            WorkKind::Samples => self.cfg.sample_queue_limit,
        };
        let own = limit as f64 * self.shares.granted_fraction(work.class);
        self.shares.queued(work.class) >= (own as usize).max(1)
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

    /// Returns the refusal of work that can't start before its deadline.
    fn deadline_refusal(&self, now: Millis, work: &Work) -> Refusal {
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

    /// Returns the expected wait of new work in milliseconds. It is the smaller of two bounds: the
    /// work ahead in its own class, served at the share of the class, and all queued work, served
    /// by the whole endpoint.
    fn expected_wait(&self, now: Millis, work: &Work) -> u64 {
        let ahead = self.queue.service_ms_ahead(work.class, work.priority);
        let own = self.fluid_wait(ahead) as f64 / self.shares.fraction(work.class);
        let all = self.fluid_wait(self.queue.service_ms());
        (own as u64).min(all) + self.slots.expected_first_end_ms(now)
    }

    /// Returns the milliseconds in which all slots together serve `service_ms` of queued work.
    fn fluid_wait(&self, service_ms: u64) -> u64 {
        service_ms / self.cfg.capacity.max(1) as u64
    }

    /// Returns the queued work that starts next, if a slot is free for it.
    fn next(&self, now: Millis) -> Option<QueuedWork> {
        if self.slots.is_full() {
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
        let startable = heads.filter(|queued| self.slots.has_free(now, queued.work.kind));
        let first = startable.max_by_key(|queued| {
            let class = queued.work.class;
            let is_interactive = queued.work.kind == WorkKind::Interactive;
            (
                self.shares.is_eligible(class, slack),
                is_interactive,
                queued.work.priority,
                Reverse(self.shares.virtual_start(class)),
            )
        });
        first.copied()
    }

    /// Returns the tokens that the endpoint serves in [`SHARE_SLACK_MS`].
    fn slack(&self) -> u64 {
        let rate = self.service_models.tokens_per_second() * self.cfg.capacity as f64;
        (rate * SHARE_SLACK_MS as f64 / 1000.0) as u64
    }

    fn enqueue(&mut self, work: Work) {
        let service = self.service_models.estimate(&work);
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
        let service = self.service_models.estimate(&work);
        self.slots.occupy(RunningWork {
            work,
            service,
            since: now,
        });
    }

    fn release(&mut self, ticket: Ticket, tokens: Option<u64>) -> Option<RunningWork> {
        let running = self.slots.release(ticket)?;
        let work = running.work;
        self.shares
            .finish(work.class, work.cost, tokens.unwrap_or(work.cost));
        Some(running)
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        while let Some(ticket) = self.queue.expired(now) {
            if let Some(queued) = self.drop_queued(ticket) {
                let refusal = self.deadline_refusal(now, &queued.work);
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
