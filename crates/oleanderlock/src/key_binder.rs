//! Binds keys that callers chose to agent incarnations, many in one write.
//!
//! Each bucket has at most one store call in flight; calls that arrive meanwhile are batched into
//! the next one. Writes are conditional on the version that was read: if two entries write at the
//! same time, one fails and reads the other's binding. A write whose answer is lost is resolved by
//! reading the object again. The binding found there is valid, whoever wrote it, so writes need
//! no id.

pub use crate::bind_call::{BindAction, BindCall, BinderLimits};

use crate::guards::Guards;
use crate::key_binding::{BindingTable, KeyBinding};
use crate::prelude::*;
use crate::store_answer::{NO_VERSION, ReadAnswer, WriteAnswer};

/// A bucket object as it was last read or written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CachedBucket {
    version: u64,
    table: BindingTable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// No store call is in flight.
    Idle,
    /// A read is in flight.
    Reading,
    /// A write of this table is in flight.
    Writing(BindingTable),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    phase: Phase,
    cached: Option<CachedBucket>,
    waiting: Vec<BindCall>,
}

/// Binds the keys of the calls at one entry.
///
/// Performs no I/O: the entry carries out the returned actions and passes the store's answers to
/// [`KeyBinder::on_read`] and [`KeyBinder::on_written`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyBinder {
    limits: BinderLimits,
    guards: Guards,
    buckets: Vec<Bucket>,
    waiting: usize,
}

impl KeyBinder {
    /// Returns a binder that has read no bucket yet.
    pub fn new(limits: BinderLimits) -> Self {
        Self::with_guards(limits, Guards::ALL)
    }

    /// As [`Self::new`], with some guards switched off; for model checking.
    pub fn with_guards(limits: BinderLimits, guards: Guards) -> Self {
        let empty = Bucket {
            phase: Phase::Idle,
            cached: None,
            waiting: Vec::new(),
        };
        Self {
            limits,
            guards,
            buckets: vec![empty; limits.buckets as usize],
            waiting: 0,
        }
    }

    /// Returns the name of a bucket's object in the store.
    pub fn object_name(bucket: u32) -> String {
        format!("key-bindings/{bucket:03}")
    }

    /// Binds the key of a call, or refuses it if too many wait; `wall` is Unix time, as in all
    /// methods.
    pub fn bind(&mut self, wall: Millis, call: BindCall) -> Vec<BindAction> {
        let bucket = call.key.bucket(self.limits.buckets);
        let slot = &mut self.buckets[bucket as usize];
        let binding = slot
            .cached
            .as_ref()
            .and_then(|cached| cached.table.get(wall, call.key));
        if let Some(binding) = binding {
            return vec![resolve(self.guards, &call, binding)];
        }
        if self.waiting >= self.limits.max_waiting {
            return vec![refuse(self.guards, &call, ErrorKind::Overloaded)];
        }
        slot.waiting.push(call);
        self.waiting += 1;
        self.advance(wall, bucket)
    }

    /// Handles the answer to a [`BindAction::Read`].
    pub fn on_read(&mut self, wall: Millis, bucket: u32, answer: ReadAnswer) -> Vec<BindAction> {
        let slot = &mut self.buckets[bucket as usize];
        if slot.phase != Phase::Reading {
            return Vec::new();
        }
        slot.phase = Phase::Idle;
        let cached = match answer {
            ReadAnswer::Unavailable => None,
            ReadAnswer::Missing => Some(CachedBucket::empty()),
            ReadAnswer::Object { version, value } => BindingTable::parse(&value)
                .ok()
                .map(|table| CachedBucket { version, table }),
        };
        if cached.is_none() {
            return self.refuse_all(bucket);
        }
        slot.cached = cached;
        self.resolve_and_advance(wall, bucket)
    }

    /// Handles the answer to a [`BindAction::Write`].
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
                slot.cached = Some(CachedBucket { version, table });
                self.resolve_and_advance(wall, bucket)
            }
            WriteAnswer::Conflict | WriteAnswer::Lost => {
                slot.cached = None;
                self.advance(wall, bucket)
            }
            WriteAnswer::Refused => {
                slot.cached = None;
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

    /// Returns the number of calls that wait for a binding.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    fn resolve_and_advance(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let mut actions = self.resolve_cached(wall, bucket);
        actions.extend(self.advance(wall, bucket));
        actions
    }

    /// Resolves the waiting calls whose key is bound in the cached bucket.
    fn resolve_cached(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let guards = self.guards;
        let slot = &mut self.buckets[bucket as usize];
        let Some(cached) = &slot.cached else {
            return Vec::new();
        };
        let bound = slot
            .waiting
            .extract_if(.., |call| cached.table.get(wall, call.key).is_some());
        let actions: Vec<_> = bound
            .filter_map(|call| Some(resolve(guards, &call, cached.table.get(wall, call.key)?)))
            .collect();
        self.waiting -= actions.len();
        actions
    }

    /// Starts the next store call if calls wait and none is in flight.
    fn advance(&mut self, wall: Millis, bucket: u32) -> Vec<BindAction> {
        let slot = &mut self.buckets[bucket as usize];
        if slot.waiting.is_empty() || slot.phase != Phase::Idle {
            return Vec::new();
        }
        let Some(cached) = &slot.cached else {
            slot.phase = Phase::Reading;
            return vec![BindAction::Read(bucket)];
        };
        let mut table = cached.table.clone();
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
            base: self.guards.conditional_binding.then_some(cached.version),
            value: table.to_value(),
        };
        let mut actions = vec![write];
        if !self.guards.confirmed_binding {
            let bound = slot.waiting.drain(..);
            actions.extend(bound.map(|call| resolve(self.guards, &call, &call.proposal)));
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

impl CachedBucket {
    fn empty() -> Self {
        Self {
            version: NO_VERSION,
            table: BindingTable::default(),
        }
    }
}

/// Answers a call whose key is bound; refuses it if the key belongs to another request.
fn resolve(guards: Guards, call: &BindCall, binding: &KeyBinding) -> BindAction {
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
    let ran = match call.first_call || !guards.unknown_earlier_call {
        true => Ran::No,
        false => Ran::Unknown,
    };
    BindAction::Refuse {
        call: call.call,
        kind,
        ran,
    }
}
