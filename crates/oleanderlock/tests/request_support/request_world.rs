//! State of the request model: agents, entries, network, store, and a record of what ran.

use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits};
use oleanderlock::guards::Guards;
use oleanderlock::key_binder::{BinderLimits, KeyBinder};
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::request_tracker::{RequestTracker, TrackConfig};
use oleanderlock::submission::Submission;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;

/// How a call is identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// No key; the request may run at any agent.
    None,
    /// An issued key that is bound to the first incarnation of agent 0.
    Issued,
    /// A key that the caller chose, bound in the store.
    Chosen,
}

/// One call; the call with index `i` arrives at entry `i`, a process that accepts calls.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub request: u128,
    pub fingerprint: u64,
    pub key: Key,
    /// Latest start of one attempt, in milliseconds of the model's clock.
    pub deadline: u64,
    /// Latest start of any attempt of the request, in milliseconds of the model's clock.
    pub horizon: u64,
}

/// Bounds of one exploration.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub calls: Vec<Call>,
    pub agents: usize,
    pub capacity: usize,
    pub max_time: u64,
    /// Maximum number of faults in one trace.
    pub faults: u8,
    pub guards: Guards,
}

impl Scenario {
    pub fn limits(&self) -> LedgerLimits {
        LedgerLimits {
            capacity: self.capacity,
            answer_bytes: 64,
            grace: Millis(1),
            max_horizon: Millis(100),
            floor_count: 1,
        }
    }

    pub fn track(&self) -> TrackConfig {
        TrackConfig {
            max_attempts: 2,
            max_sends: 2,
            resend_after: Millis(1),
            bury_margin: Millis(1),
        }
    }

    pub fn binder(&self) -> KeyBinder {
        let limits = BinderLimits {
            buckets: 1,
            max_waiting: 4,
            max_bucket_len: 4,
        };
        KeyBinder::with_guards(limits, self.guards)
    }
}

/// The sender of a submission, to which its outcome is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sender {
    pub entry: usize,
    pub ticket: Ticket,
}

/// A submission at an agent, with the entry, and thus the call, that it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    pub submission: Submission,
    pub entry: usize,
    pub running: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    pub ledger: AttemptLedger,
    pub jobs: Vec<Job>,
    pub senders: Vec<Sender>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallState {
    Waiting,
    Binding,
    Tracked(RequestTracker),
    Over,
    Crashed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub call: CallState,
    pub binder: KeyBinder,
    /// Whether the store call in flight is a write; `None` if there is none.
    pub store_call: Option<bool>,
    /// Number of store calls so far, which is also the number of the last one.
    pub store_calls: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// From an entry; true while the entry may still learn that it was never sent.
    Submit(usize, Submission, bool),
    Bury(usize, Submission),
    Finish(Sender, Outcome),
    Buried(Sender, Ran),
    StoreRead(usize, u8),
    StoreWrite(usize, u8, Option<u64>, Rc<str>),
    StoreValue(usize, u8, Option<(u64, Rc<str>)>, bool),
    StoreWritten(usize, u8, oleanderlock::store_answer::WriteAnswer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    pub object: Option<(u64, Rc<str>)>,
    pub up: bool,
}

/// What ran, and which calls were answered with "not run".
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Runs: request, fingerprint, and the call that caused it.
    pub runs: Vec<(u128, u64, usize)>,
    /// Whether each call was answered with "not run".
    pub reported_not_run: [bool; ENTRIES],
}

#[derive(Clone, Debug)]
pub struct World {
    pub agents: [Rc<Agent>; AGENTS],
    pub entries: [Rc<Entry>; ENTRIES],
    pub net: Rc<Vec<Message>>,
    pub store: Rc<Store>,
    pub record: Rc<Record>,
    pub now: u64,
    pub faults: u8,
    pub violated: Option<&'static str>,
}

/// Returns the incarnation of an agent after a number of restarts.
pub fn incarnation(agent: usize, restarts: u64) -> Incarnation {
    Incarnation(agent as u64 + 10 * restarts)
}

/// Returns the index of the agent of an incarnation.
pub fn slot_of(incarnation: Incarnation) -> usize {
    (incarnation.0 % 10) as usize
}

impl World {
    pub fn start(scenario: &Scenario) -> Self {
        let agent = |slot| {
            let ledger = AttemptLedger::with_guards(
                incarnation(slot, 0),
                scenario.limits(),
                scenario.guards,
            );
            Rc::new(Agent {
                ledger,
                jobs: Vec::new(),
                senders: Vec::new(),
            })
        };
        let entry = Rc::new(Entry {
            call: CallState::Waiting,
            binder: scenario.binder(),
            store_call: None,
            store_calls: 0,
        });
        Self {
            agents: [agent(0), agent(1)],
            entries: [Rc::clone(&entry), entry],
            net: Rc::new(Vec::new()),
            store: Rc::new(Store {
                object: None,
                up: true,
            }),
            record: Rc::new(Record::default()),
            now: 0,
            faults: scenario.faults,
            violated: None,
        }
    }

    pub fn agent(&mut self, slot: usize) -> &mut Agent {
        Rc::make_mut(&mut self.agents[slot])
    }

    pub fn entry(&mut self, entry: usize) -> &mut Entry {
        Rc::make_mut(&mut self.entries[entry])
    }

    /// Adds a message to the network, which is unordered: sorting makes equal networks equal
    /// states.
    pub fn send(&mut self, message: Message) {
        let net = Rc::make_mut(&mut self.net);
        net.push(message);
        net.sort_by_cached_key(|message| {
            BuildHasherDefault::<DefaultHasher>::default().hash_one(message)
        });
    }

    /// Records a run and checks that it is the only one of its request.
    pub fn run(&mut self, job: &Job) {
        let request = job.submission.ticket.request.0;
        let fingerprint = job.submission.fingerprint;
        let record = Rc::make_mut(&mut self.record);
        if record.runs.iter().any(|run| run.0 == request) {
            self.violated = Some("a request runs at most once");
        }
        record.runs.push((request, fingerprint, job.entry));
        record.runs.sort_unstable();
    }
}
