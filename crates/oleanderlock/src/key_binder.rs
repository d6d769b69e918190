//! Binds keys that callers chose, many to a write.
//!
//! Each bucket has at most one call to the store under way; requests that come meanwhile wait for
//! the next one. Writes are conditional on the version read, so that of two entries one wins and
//! the other finds the winner's binding. A write whose answer is lost is resolved by reading back:
//! the binding found there counts, whoever wrote it, so no write id is needed.

pub use crate::bind_call::{BindAction, BindCall, BinderLimits};

use crate::guards::Guards;
use crate::key_binding::{BindingTable, KeyBinding};
use crate::prelude::*;
use crate::store_answer::{NO_VERSION, ReadAnswer, WriteAnswer};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    version: u64,
    table: BindingTable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Reading,
    Writing(BindingTable),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    phase: Phase,
    known: Option<Known>,
    waiting: Vec<BindCall>,
}

/// Binds the keys of the requests of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyBinder {
    limits: BinderLimits,
    guards: Guards,
    buckets: Vec<Bucket>,
    waiting: usize,
}

impl KeyBinder {
    /// Returns a binder that knows no bucket yet.
    pub fn new(limits: BinderLimits) -> Self {
        Self::with_guards(limits, Guards::ALL)
    }

    /// As [`Self::new`], with guards that may be off; for model checking.
    pub fn with_guards(limits: BinderLimits, guards: Guards) -> Self {
        let empty = Bucket {
            phase: Phase::Idle,
            known: None,
            waiting: Vec::new(),
        };
        Self {
            limits,
            guards,
            buckets: vec![empty; limits.buckets as usize],
            waiting: 0,
        }
    }

    /// Name of a bucket's object.
    pub fn object_name(bucket: u32) -> String {
        format!("key-bindings/{bucket:03}")
    }

    /// Takes a call; `wall` is Unix time.
    pub fn bind(&mut self, wall: Millis, call: BindCall) -> Vec<BindAction> {
        let bucket = call.key.bucket(self.limits.buckets);
        let slot = &mut self.buckets[bucket as usize];
        let known = slot
            .known
            .as_ref()
            .and_then(|known| known.table.get(wall, call.key));
        if let Some(binding) = known {
            return vec![settle(self.guards, &call, binding)];
        }
        if self.waiting >= self.limits.max_waiting {
            return vec![refuse(self.guards, &call, ErrorKind::Overloaded)];
        }
        slot.waiting.push(call);
        self.waiting += 1;
        self.drive(wall, bucket)
    }

    /// Takes the answer to a read.
    pub fn on_read(&mut self, wall: Millis, bucket: u32, answer: ReadAnswer) -> Vec<BindAction> {
        let slot = &mut self.buckets[bucket as usize];
        if slot.phase != Phase::Reading {
            return Vec::new();
        }
        slot.phase = Phase::Idle;
        let known = match answer {
            ReadAnswer::Unavailable => None,
            ReadAnswer::Missing => Some(Known::empty()),
            ReadAnswer::Object { version, value } => BindingTable::parse(&value)
                .ok()
                .map(|table| Known { version, table }),
        };
        if known.is_none() {
            return self.refuse_all(bucket);
        }
        slot.known = known;
        self.settle_and_drive(wall, bucket)
    }

    /// Takes the answer to a write.
    pub fn on_written(
        &mut self,
        wall: Millis,
        bucket: u32,
        answer: WriteAnswer,
    ) -> Vec<BindAction> {
        let slot = &mut self.buckets[bucket as usize];
        let Phase::Writing(table) = std::mem::replace(&mut slot.phase, Phase::Idle) else {
            return Vec::new();
        };
        match answer {
            WriteAnswer::Written(version) => {
                slot.known = Some(Known { version, table });
                self.settle_and_drive(wall, bucket)
            }
            WriteAnswer::Conflict | WriteAnswer::Lost => {
                slot.known = None;
                self.drive(wall, bucket)
            }
            WriteAnswer::Refused => {
                slot.known = None;
                self.refuse_all(bucket)
            }
        }
    }

    /// Refuses the calls whose deadline has passed at time `now` of the entry's clock.
    pub fn expire(&mut self, now: Millis) -> Vec<BindAction> {
        let guards = self.guards;
        let mut actions = Vec::new();
        for slot in &mut self.buckets {
            let late = slot.waiting.extract_if(.., |call| now >= call.deadline);
            actions.extend(late.map(|call| refuse(guards, &call, ErrorKind::StoreUnavailable)));
        }
        self.waiting -= actions.len();
        actions
    }

    /// Calls that wait for a binding.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    fn settle_and_drive(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let mut actions = self.settle_known(wall, bucket);
        actions.extend(self.drive(wall, bucket));
        actions
    }

    fn settle_known(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let guards = self.guards;
        let slot = &mut self.buckets[bucket as usize];
        let Some(known) = &slot.known else {
            return Vec::new();
        };
        let bound = slot
            .waiting
            .extract_if(.., |call| known.table.get(wall, call.key).is_some());
        let actions: Vec<_> = bound
            .filter_map(|call| Some(settle(guards, &call, known.table.get(wall, call.key)?)))
            .collect();
        self.waiting -= actions.len();
        actions
    }

    fn drive(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let slot = &mut self.buckets[bucket as usize];
        if slot.waiting.is_empty() || slot.phase != Phase::Idle {
            return Vec::new();
        }
        let Some(known) = &slot.known else {
            slot.phase = Phase::Reading;
            return vec![BindAction::Read(bucket)];
        };
        let mut table = known.table.clone();
        table.prune(wall);
        let room = self.limits.max_bucket_len.saturating_sub(table.len());
        if room == 0 {
            return self.refuse_all(bucket);
        }
        for call in slot.waiting.iter().take(room) {
            table.insert(call.key, call.proposal.clone());
        }
        let write = BindAction::Write {
            bucket,
            base: self.guards.conditional.then_some(known.version),
            value: table.to_value(),
        };
        let mut actions = vec![write];
        if !self.guards.confirmed {
            let bound = slot.waiting.drain(..);
            actions.extend(bound.map(|call| settle(self.guards, &call, &call.proposal)));
            self.waiting -= actions.len() - 1;
        }
        slot.phase = Phase::Writing(table);
        actions
    }

    fn refuse_all(&mut self, bucket: u32) -> Vec<BindAction> {
        let guards = self.guards;
        let calls = std::mem::take(&mut self.buckets[bucket as usize].waiting);
        self.waiting -= calls.len();
        calls
            .iter()
            .map(|call| refuse(guards, call, ErrorKind::StoreUnavailable))
            .collect()
    }
}

impl Known {
    fn empty() -> Self {
        Self {
            version: NO_VERSION,
            table: BindingTable::default(),
        }
    }
}

fn settle(guards: Guards, call: &BindCall, binding: &KeyBinding) -> BindAction {
    if guards.fingerprint && binding.fingerprint != call.proposal.fingerprint {
        return BindAction::Refuse {
            call: call.call,
            kind: ErrorKind::KeyReused,
            ran: Ran::No,
        };
    }
    BindAction::Bound {
        call: call.call,
        binding: binding.clone(),
    }
}

fn refuse(guards: Guards, call: &BindCall, kind: ErrorKind) -> BindAction {
    let ran = match call.first_call || !guards.earlier_calls {
        true => Ran::No,
        false => Ran::Unknown,
    };
    BindAction::Refuse {
        call: call.call,
        kind,
        ran,
    }
}
