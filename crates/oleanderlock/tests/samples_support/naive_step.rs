//! Reference implementation of a step, which keeps a log of all events and scans it.

use oleanderlock::cursor::Cursor;
use oleanderlock::prelude::*;
use oleanderlock::pull::{Pull, PullAnswer, PullRefusal, SlotSample};
use oleanderlock::step_action::StepAction;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_counter::StepCounter;
use oleanderlock::straggler::Straggler;
use oleanderlock::whole_answer::WholeAnswer;
use std::cmp::Reverse;

enum Entry {
    Started {
        slot: SlotKey,
        attempt: u32,
        at: Millis,
    },
    Reported {
        slot: SlotKey,
        attempt: u32,
        version: Version,
    },
    Ended {
        slot: SlotKey,
        attempt: u32,
    },
    Kept {
        slot: SlotKey,
        answer: WholeAnswer,
    },
    Dropped {
        slot: SlotKey,
    },
    Delayed {
        slot: SlotKey,
        until: Millis,
    },
}

/// A log of the events of all slots, and the contents of the latest pull.
pub struct NaiveStep {
    config: StepConfig,
    slots: Vec<SlotKey>,
    log: Vec<Entry>,
    held: Option<Vec<SlotKey>>,
    version: Version,
    waiting: Option<Pull>,
    out: Vec<StepAction>,
}

impl NaiveStep {
    pub fn new(config: StepConfig, sizes: &[u32]) -> Self {
        let groups = sizes.iter().enumerate();
        let slots = groups.flat_map(|(group, size)| {
            (0..*size).map(move |index| SlotKey {
                group: group as u32,
                index,
            })
        });
        Self {
            slots: slots.collect(),
            config,
            log: Vec::new(),
            held: None,
            version: Version(0),
            waiting: None,
            out: Vec::new(),
        }
    }

    pub fn take_actions(&mut self) -> Vec<StepAction> {
        std::mem::take(&mut self.out)
    }

    pub fn live(&self, slot: SlotKey) -> Vec<(u32, Millis)> {
        let ended = |number: u32| {
            let is_end = |entry: &Entry| matches!(entry, Entry::Ended { slot: s, attempt } if *s == slot && *attempt == number);
            self.log.iter().any(is_end)
        };
        let started = self.log.iter().filter_map(|entry| match entry {
            Entry::Started {
                slot: s,
                attempt,
                at,
            } if *s == slot => Some((*attempt, *at)),
            _ => None,
        });
        started.filter(|(number, _)| !ended(*number)).collect()
    }

    fn started(&self, slot: SlotKey) -> u32 {
        let is_start =
            |entry: &&Entry| matches!(entry, Entry::Started { slot: s, .. } if *s == slot);
        self.log.iter().filter(is_start).count() as u32
    }

    fn payload(&self, slot: SlotKey) -> Option<&WholeAnswer> {
        let last = self.log.iter().rev().find_map(|entry| match entry {
            Entry::Kept { slot: s, answer } if *s == slot => Some(Some(answer)),
            Entry::Dropped { slot: s } if *s == slot => Some(None),
            _ => None,
        });
        last.flatten()
    }

    fn delayed_until(&self, slot: SlotKey) -> Millis {
        let last = self.log.iter().rev().find_map(|entry| match entry {
            Entry::Delayed { slot: s, until } if *s == slot => Some(*until),
            _ => None,
        });
        last.unwrap_or(Millis::ZERO)
    }

    pub fn in_flight(&self) -> u32 {
        self.slots
            .iter()
            .map(|slot| self.live(*slot).len() as u32)
            .sum()
    }

    pub fn bytes(&self) -> u64 {
        let payloads = self.slots.iter().filter_map(|slot| self.payload(*slot));
        payloads.map(|answer| answer.data.len() as u64).sum()
    }

    pub fn settled(&self) -> u32 {
        self.slots
            .iter()
            .filter(|slot| self.payload(**slot).is_some())
            .count() as u32
    }

    pub fn remaining(&self) -> u32 {
        (self.slots.len() - self.held.as_ref().map_or(0, Vec::len)) as u32
    }

    fn is_held(&self, slot: SlotKey) -> bool {
        self.held.as_ref().is_some_and(|held| held.contains(&slot))
    }

    fn lacks_result(&self, slot: SlotKey) -> bool {
        !self.is_held(slot) && self.payload(slot).is_none()
    }

    fn has_room(&self) -> bool {
        let limits = &self.config.limits;
        let reserved = limits.sample_bytes * u64::from(self.in_flight() + 1);
        self.in_flight() < limits.in_flight && self.bytes() + reserved <= limits.payload_bytes
    }

    fn start(&mut self, now: Millis, slot: SlotKey) {
        let attempt = self.started(slot);
        self.log.push(Entry::Started {
            slot,
            attempt,
            at: now,
        });
        let bound = self.config.staleness.bound.unwrap_or(u64::MAX);
        let min_version = Version(self.version.0.saturating_sub(bound));
        self.out.push(StepAction::Generate {
            slot,
            attempt,
            min_version,
        });
    }

    fn start_missing(&mut self, now: Millis) {
        for slot in self.slots.clone() {
            let missing = self.lacks_result(slot) && self.live(slot).is_empty();
            let due = self.delayed_until(slot) <= now;
            if self.held.is_some() && missing && due && self.has_room() {
                self.start(now, slot);
            }
        }
    }

    fn cancel(&mut self, slot: SlotKey) {
        for (attempt, _) in self.live(slot) {
            self.log.push(Entry::Ended { slot, attempt });
            self.out.push(StepAction::Cancel { slot, attempt });
        }
    }

    pub fn open(&mut self, now: Millis) {
        self.held = Some(Vec::new());
        self.start_missing(now);
    }

    pub fn pull(&mut self, now: Millis, pull: Pull) {
        let shape = &self.config.shape;
        let cursor = match Cursor::parse(&pull.cursor, self.config.tag, shape.slots()) {
            Ok(cursor) => cursor,
            Err(error) => {
                let refusal = PullRefusal::BadCursor(error);
                self.out.push(StepAction::Refuse {
                    pull: pull.id,
                    refusal,
                });
                return;
            }
        };
        if let Some(old) = self.waiting.take() {
            let refusal = PullRefusal::Superseded;
            self.out.push(StepAction::Refuse {
                pull: old.id,
                refusal,
            });
        }
        let numbered = self.slots.iter().enumerate();
        let held: Vec<_> = numbered
            .filter(|(p, _)| cursor.contains(*p as u32))
            .collect();
        let held: Vec<_> = held.into_iter().map(|(_, slot)| *slot).collect();
        if self.held.iter().flatten().any(|slot| !held.contains(slot)) {
            self.out.push(StepAction::Count(StepCounter::Rewound));
        }
        for slot in &held {
            self.log.push(Entry::Dropped { slot: *slot });
            self.cancel(*slot);
        }
        self.held = Some(held);
        self.version = pull.version;
        self.cancel_outdated(now);
        let (id, until) = (pull.id, pull.until);
        self.waiting = Some(pull);
        self.deliver(now);
        if self.waiting.is_some() {
            self.out.push(StepAction::Wait { pull: id, until });
        }
        self.start_missing(now);
    }

    fn cancel_outdated(&mut self, now: Millis) {
        for slot in self.slots.clone() {
            for (number, _) in self.live(slot) {
                let bound = self.config.staleness.bound.unwrap_or(u64::MAX);
                let too_old = |v: Version| v.0.saturating_add(bound) < self.version.0;
                let outdated = self.log.iter().any(|entry| match entry {
                    Entry::Reported {
                        slot: s,
                        attempt,
                        version,
                    } => *s == slot && *attempt == number && too_old(*version),
                    _ => false,
                });
                if outdated {
                    let until = Millis(now.0 + self.config.limits.discard_delay.0);
                    self.log.push(Entry::Delayed { slot, until });
                    self.log.push(Entry::Ended {
                        slot,
                        attempt: number,
                    });
                    self.out
                        .push(StepAction::Count(StepCounter::OutdatedAttempt));
                    self.out.push(StepAction::Cancel {
                        slot,
                        attempt: number,
                    });
                }
            }
        }
    }

    pub fn progress(&mut self, now: Millis, slot: SlotKey, attempt: u32, version: Version) {
        if self.live(slot).iter().any(|(number, _)| *number == attempt) {
            self.log.push(Entry::Reported {
                slot,
                attempt,
                version,
            });
        }
        self.cancel_outdated(now);
        self.start_missing(now);
    }

    pub fn tick(&mut self, now: Millis) {
        self.deliver(now);
        self.start_missing(now);
    }

    fn deliver(&mut self, now: Millis) {
        let Some(pull) = self.waiting.clone() else {
            return;
        };
        for slot in self.slots.clone() {
            let versions = self
                .payload(slot)
                .map(super::delivery_world::named_versions);
            let bound = self.config.staleness.bound.unwrap_or(u64::MAX);
            let old =
                |v: &Option<Version>| v.is_none_or(|v| v.0.saturating_add(bound) < pull.version.0);
            if versions.is_some_and(|versions| versions.iter().any(old)) {
                self.log.push(Entry::Dropped { slot });
                self.out.push(StepAction::Count(StepCounter::TooOld));
            }
        }
        let mut samples: Vec<SlotSample> = Vec::new();
        for slot in &self.slots {
            let bytes: usize = samples.iter().map(|s| s.answer.data.len()).sum();
            if bytes as u64 >= self.config.limits.answer_bytes {
                break;
            }
            let payload = self.payload(*slot).filter(|_| !self.is_held(*slot));
            samples.extend(payload.map(|a| SlotSample {
                slot: *slot,
                answer: a.clone(),
            }));
        }
        let remaining = self.remaining() - samples.len() as u32;
        if samples.is_empty() && remaining > 0 && now < pull.until {
            return;
        }
        let mut cursor = Cursor::empty(self.config.tag, self.slots.len() as u32);
        let numbered = self.slots.iter().enumerate();
        let given = |slot: &SlotKey| samples.iter().any(|s| s.slot == *slot);
        numbered
            .filter(|(_, slot)| self.is_held(**slot) || given(slot))
            .for_each(|(position, _)| cursor.insert(position as u32));
        let answer = PullAnswer {
            from: pull.cursor,
            cursor: cursor.to_string(),
            version: pull.version,
            samples,
            remaining,
        };
        self.out.push(StepAction::Deliver {
            pull: pull.id,
            answer,
        });
        self.waiting = None;
    }

    pub fn settle(&mut self, now: Millis, slot: SlotKey, attempt: u32, answer: WholeAnswer) {
        if !self.live(slot).iter().any(|(number, _)| *number == attempt) {
            self.out.push(StepAction::Count(StepCounter::LateResult));
            return;
        }
        self.log.push(Entry::Ended { slot, attempt });
        let versions = super::delivery_world::named_versions(&answer);
        let refused = if versions.len() as u64 != answer.tokens {
            Some(StepCounter::NotCovered)
        } else if versions.is_empty() || versions.contains(&None) {
            Some(StepCounter::UnknownVersion)
        } else if answer.data.len() as u64 > self.config.limits.sample_bytes {
            Some(StepCounter::TooLarge)
        } else {
            None
        };
        if refused.is_some() {
            let until = Millis(now.0 + self.config.limits.discard_delay.0);
            self.log.push(Entry::Delayed { slot, until });
        } else {
            self.log.push(Entry::Kept { slot, answer });
            self.cancel(slot);
        }
        self.out
            .push(StepAction::Count(refused.unwrap_or(StepCounter::Settled)));
        self.deliver(now);
        self.start_missing(now);
    }

    pub fn fail(&mut self, now: Millis, slot: SlotKey, attempt: u32, retry_at: Millis) {
        if !self.live(slot).iter().any(|(number, _)| *number == attempt) {
            return;
        }
        self.log.push(Entry::Ended { slot, attempt });
        self.log.push(Entry::Delayed {
            slot,
            until: retry_at,
        });
        self.out.push(StepAction::Count(StepCounter::Failed));
        self.start_missing(now);
    }

    pub fn hedge(&mut self, now: Millis, slot: SlotKey) {
        let live = self.live(slot).len() as u32;
        let few = live > 0 && live < self.config.limits.attempts_per_slot;
        if few && self.lacks_result(slot) && self.has_room() {
            self.start(now, slot);
            self.out.push(StepAction::Count(StepCounter::Hedged));
        }
    }

    pub fn stragglers(&self, now: Millis) -> Vec<Straggler> {
        let missing = |group: u32| {
            let same_group = self.slots.iter().filter(|slot| slot.group == group);
            same_group.filter(|slot| self.lacks_result(**slot)).count() as u32
        };
        let lacking = self.slots.iter().filter(|slot| self.lacks_result(**slot));
        let mut found: Vec<_> = lacking
            .filter_map(|slot| {
                let live = self.live(*slot);
                let oldest = live.iter().map(|(_, at)| *at).min()?;
                Some(Straggler {
                    slot: *slot,
                    missing_in_group: missing(slot.group),
                    attempts: live.len() as u32,
                    age: now.since(oldest),
                })
            })
            .collect();
        found.sort_by_key(|s| (s.missing_in_group, Reverse(s.age), s.slot));
        found
    }

    pub fn next_tick(&self) -> Option<Millis> {
        let may_start = self.held.is_some() && self.has_room();
        let missing = self
            .slots
            .iter()
            .filter(|slot| may_start && self.lacks_result(**slot) && self.live(**slot).is_empty());
        let delays = missing.map(|slot| self.delayed_until(*slot));
        let delays = delays.filter(|until| *until > Millis::ZERO);
        delays
            .chain(self.waiting.iter().map(|pull| pull.until))
            .min()
    }
}
