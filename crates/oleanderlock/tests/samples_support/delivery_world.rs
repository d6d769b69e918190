//! State of the model of sample delivery, built from the production types.

use indexmap::IndexSet;
use oleanderlock::attribution::Attribution;
use oleanderlock::prelude::*;
use oleanderlock::pull::{Pull, PullAnswer, PullId};
use oleanderlock::segment::Segment;
use oleanderlock::step::Step;
use oleanderlock::step_action::StepAction;
use oleanderlock::trainer_position::TrainerPosition;
use oleanderlock::whole_answer::WholeAnswer;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// Tokens of every sample.
pub const TOKENS: u64 = 2;
/// Time limit of every pull; all other events happen at time 0.
pub const PULL_UNTIL: Millis = Millis(1);

/// A message in flight. Messages may arrive in any order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Pull {
        owner: u8,
        cursor: String,
        version: Version,
    },
    Answer(PullAnswer),
    Result {
        owner: u8,
        slot: SlotKey,
        attempt: u32,
        answer: WholeAnswer,
    },
}

/// An attempt at the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    pub owner: u8,
    pub slot: SlotKey,
    pub attempt: u32,
    pub min_version: Version,
    pub started: Option<Version>,
    pub reported: bool,
}

/// The trainer, and the checkpoint from which it restarts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Trainer {
    pub position: TrainerPosition,
    pub taken: Vec<bool>,
    pub saved_position: TrainerPosition,
    pub saved_taken: Vec<bool>,
}

/// The parts small enough to be copied into every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Scalars {
    /// Version that the engine truly runs.
    pub engine: Version,
    /// Whether the engine knows its version.
    pub engine_known: bool,
    pub published: Version,
    pub store_up: bool,
    /// Holder of the lease, according to the store.
    pub holder: Option<u8>,
    pub lease_live: bool,
    pub faults_left: u8,
}

/// A state, with its large parts interned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct World {
    trainer: u32,
    owners: [u32; 2],
    net: u32,
    jobs: u32,
    scalars: Scalars,
}

/// A state in full.
#[derive(Clone, Debug)]
pub struct FullState {
    pub trainer: Trainer,
    pub owners: [Option<Step>; 2],
    pub net: Vec<Message>,
    pub jobs: Vec<Job>,
    pub scalars: Scalars,
    /// Whether an attempt number exceeds the bound of the search.
    pub beyond_bound: bool,
}

/// The parts of all visited states, each stored once.
#[derive(Default)]
pub struct Interner {
    trainers: IndexSet<Trainer>,
    owners: IndexSet<Option<Step>>,
    nets: IndexSet<Vec<Message>>,
    jobs: IndexSet<Vec<Job>>,
}

impl Interner {
    pub fn pack(&mut self, mut full: FullState) -> World {
        full.net.sort_by_cached_key(fixed_hash);
        full.jobs.sort_by_cached_key(fixed_hash);
        let [first, second] = full.owners;
        World {
            trainer: intern(&mut self.trainers, full.trainer),
            owners: [
                intern(&mut self.owners, first),
                intern(&mut self.owners, second),
            ],
            net: intern(&mut self.nets, full.net),
            jobs: intern(&mut self.jobs, full.jobs),
            scalars: full.scalars,
        }
    }

    pub fn unpack(&self, world: World) -> FullState {
        let owner = |index: usize| self.owners[world.owners[index] as usize].clone();
        FullState {
            trainer: self.trainers[world.trainer as usize].clone(),
            owners: [owner(0), owner(1)],
            net: self.nets[world.net as usize].clone(),
            jobs: self.jobs[world.jobs as usize].clone(),
            scalars: world.scalars,
            beyond_bound: false,
        }
    }
}

impl FullState {
    /// Performs the actions that a step asked its owner to take.
    pub fn perform(&mut self, owner: u8, actions: Vec<StepAction>, max_attempts: u32) {
        for action in actions {
            match action {
                StepAction::Generate {
                    slot,
                    attempt,
                    min_version,
                } => {
                    self.beyond_bound |= attempt >= max_attempts;
                    self.jobs.push(Job {
                        owner,
                        slot,
                        attempt,
                        min_version,
                        started: None,
                        reported: false,
                    });
                }
                StepAction::Cancel { slot, attempt } => self
                    .jobs
                    .retain(|j| (j.owner, j.slot, j.attempt) != (owner, slot, attempt)),
                StepAction::Deliver { answer, .. } => self.net.push(Message::Answer(answer)),
                StepAction::Refuse { .. } | StepAction::Wait { .. } | StepAction::Count(_) => {}
            }
        }
    }

    /// Removes the step at `owner`, with its attempts and their results.
    pub fn forget_step(&mut self, owner: u8) {
        self.owners[owner as usize] = None;
        self.jobs.retain(|job| job.owner != owner);
        self.net
            .retain(|m| !matches!(m, Message::Result { owner: o, .. } if *o == owner));
    }

    /// Returns the pull that the trainer would send now.
    pub fn pull_message(&self, owner: u8) -> Message {
        Message::Pull {
            owner,
            cursor: self.trainer.position.cursor().to_owned(),
            version: self.trainer.position.version(),
        }
    }

    /// Ends a job; the engine's version may have changed since it started. A truncated result lacks
    /// the last token.
    pub fn finish_job(&mut self, index: usize, truncated: bool) {
        let job = self.jobs.remove(index);
        let started = job.started.unwrap_or(self.scalars.engine);
        let now = Some(self.scalars.engine).filter(|_| self.scalars.engine_known);
        let segments = [
            Segment::known(started, 0, 1),
            Segment::around(1, TOKENS, now, now),
        ];
        let made_by = [started.0 as u8, self.scalars.engine.0 as u8];
        let tokens_present = if truncated { 1 } else { 2 };
        let mut attribution = Attribution::new();
        for segment in &segments[..tokens_present] {
            attribution
                .append(*segment)
                .expect("segments are contiguous");
        }
        self.net.push(Message::Result {
            owner: job.owner,
            slot: job.slot,
            attempt: job.attempt,
            answer: WholeAnswer {
                data: bytes::Bytes::copy_from_slice(&made_by[..tokens_present]),
                tokens: TOKENS,
                attribution,
            },
        });
    }
}

/// Returns the pull as it is passed to the owner's step.
pub fn pull_of(cursor: String, version: Version) -> Pull {
    Pull {
        id: PullId(0),
        cursor,
        version,
        until: PULL_UNTIL,
    }
}

/// Returns the version that each segment names for each token, in order.
pub fn named_versions(answer: &WholeAnswer) -> Vec<Option<Version>> {
    let segments = answer.attribution.segments().iter();
    segments
        .flat_map(|s| (s.first..s.end).map(|_| s.version))
        .collect()
}

fn intern<T: Hash + Eq>(set: &mut IndexSet<T>, value: T) -> u32 {
    set.insert_full(value).0 as u32
}

fn fixed_hash<T: Hash>(value: &T) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}
