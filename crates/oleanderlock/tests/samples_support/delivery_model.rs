//! Model of sample delivery: events, faults and invariants.

use super::delivery_world::*;
use super::search::{Outcome, Search, search};
use oleanderlock::cursor::Cursor;
use oleanderlock::prelude::*;
use oleanderlock::pull::PullAnswer;
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_limits::StepLimits;
use oleanderlock::step_shape::StepShape;
use oleanderlock::straggler::Straggler;
use oleanderlock::trainer_position::TrainerPosition;

pub const ACCEPTED_TWICE: &str =
    "the trainer accepts each slot at most once, not counting samples that a restart undid";
pub const TOO_OLD: &str = "no accepted sample is older than the bound";
pub const MISATTRIBUTED: &str = "the segments of a sample name the versions that generated it";
pub const INCOMPLETE: &str = "an accepted sample is complete";
pub const CURSOR_MISMATCH: &str = "the trainer's cursor and count match the slots it accepted";
pub const RESETTLED: &str = "a settled slot does not change at its owner";
pub const NEVER_COMPLETE: &str = "the step can still complete";

/// Bounds of one search.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub groups: Vec<u32>,
    pub staleness: u64,
    pub max_version: u64,
    pub faults: u8,
    /// Pulls and answers in flight above which no pull is sent and no message duplicated.
    pub net: usize,
    pub attempts: u32,
    /// Most attempts in flight for one slot.
    pub attempts_per_slot: u32,
    /// Size in bytes at which an answer gets no further sample.
    pub answer_bytes: u64,
    pub states: usize,
    /// Every state whose number is divisible by this is checked for whether the step can still
    /// complete.
    pub check_completion_every: usize,
    /// Returns whether a fault may happen.
    pub allowed_faults: fn(Event) -> bool,
}

/// An event of the model; numbers are owners, or indexes of messages and jobs.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Pull(u8),
    Arrive(u8),
    Lose(u8),
    Repeat(u8),
    Start(u8),
    Report(u8),
    Finish(u8),
    FinishTruncated(u8),
    FailAttempt(u8),
    Publish,
    Swap,
    FailSwap { took_effect: bool },
    DetermineVersion,
    Checkpoint,
    RestartTrainer,
    CrashOwner(u8),
    ExpireLease,
    Acquire(u8),
    NoticeLoss(u8),
    StoreDown,
    StoreUp,
    TimeOut(u8),
    Hedge(u8, SlotKey),
    CompleteWithoutFaults,
}

impl Event {
    const fn is_fault(self) -> bool {
        use Event::*;
        matches!(
            self,
            Lose(_)
                | Repeat(_)
                | FinishTruncated(_)
                | FailAttempt(_)
                | FailSwap { .. }
                | RestartTrainer
                | CrashOwner(_)
                | ExpireLease
                | StoreDown
        )
    }
}

/// The model with its bounds and guards.
pub struct DeliveryModel {
    bounds: Bounds,
    config: StepConfig,
    interner: Interner,
}

impl DeliveryModel {
    pub fn new(bounds: Bounds, guards: SampleGuards) -> Self {
        let shape = StepShape::new(bounds.groups.iter().copied());
        let limits = StepLimits {
            discard_delay: Millis::ZERO,
            attempts_per_slot: bounds.attempts_per_slot,
            answer_bytes: bounds.answer_bytes,
            ..StepLimits::default()
        };
        let config = StepConfig {
            tag: shape.tag("trainer", 1),
            shape,
            staleness: Staleness::within(bounds.staleness),
            limits,
            guards,
        };
        Self {
            bounds,
            config,
            interner: Interner::default(),
        }
    }

    /// Searches for a violation.
    pub fn run(&mut self) -> Search {
        let first = self.first();
        let start = self.interner.pack(first);
        let limit = self.bounds.states;
        let mut number = 0;
        search(start, limit, |world| {
            number += 1;
            self.successors(world, number)
        })
    }

    fn first(&self) -> FullState {
        let slots = self.config.shape.slots() as usize;
        let position = TrainerPosition::new(Version(0));
        let mut first = FullState {
            trainer: Trainer {
                position: position.clone(),
                taken: vec![false; slots],
                saved_position: position,
                saved_taken: vec![false; slots],
            },
            owners: [None, None],
            net: Vec::new(),
            jobs: Vec::new(),
            scalars: Scalars {
                engine: Version(0),
                engine_known: true,
                published: Version(0),
                store_up: true,
                holder: Some(0),
                lease_live: true,
                faults_left: self.bounds.faults,
            },
            beyond_bound: false,
        };
        let mut actions = Vec::new();
        let step = Step::open(Millis::ZERO, self.config.clone(), Version(0), &mut actions);
        first.owners[0] = Some(step.expect("the step fits its limits"));
        first.perform(0, actions, self.bounds.attempts);
        first
    }

    fn successors(&mut self, world: World, number: usize) -> Vec<(Event, Outcome<World>)> {
        let full = self.interner.unpack(world);
        let mut outcomes = Vec::new();
        if number.is_multiple_of(self.bounds.check_completion_every)
            && !self.can_complete(full.clone())
        {
            outcomes.push((Event::CompleteWithoutFaults, Err(NEVER_COMPLETE)));
        }
        for event in self.events(&full) {
            match self.apply(full.clone(), event) {
                Ok(next) if next.beyond_bound => {}
                Ok(next) => outcomes.push((event, Ok(self.interner.pack(next)))),
                Err(broken) => outcomes.push((event, Err(broken))),
            }
        }
        outcomes
    }

    fn events(&self, full: &FullState) -> Vec<Event> {
        let s = &full.scalars;
        let mut events = Vec::new();
        if !full.trainer.saved_taken.contains(&false) {
            return events;
        }
        let exchanges = full
            .net
            .iter()
            .filter(|m| !matches!(m, Message::Result { .. }))
            .count();
        for owner in [0, 1] {
            let Some(step) = &full.owners[owner as usize] else {
                if s.store_up && !s.lease_live {
                    events.push(Event::Acquire(owner));
                }
                continue;
            };
            if exchanges < self.bounds.net && full.trainer.taken.contains(&false) {
                events.push(Event::Pull(owner));
            }
            events.push(Event::CrashOwner(owner));
            if s.store_up && s.holder != Some(owner) {
                events.push(Event::NoticeLoss(owner));
            }
            if step.next_tick().is_some() {
                events.push(Event::TimeOut(owner));
            }
            let stragglers = step.stragglers(Millis::ZERO).into_iter();
            let few = |s: &Straggler| s.attempts < self.bounds.attempts_per_slot;
            events.extend(
                stragglers
                    .filter(few)
                    .map(|straggler| Event::Hedge(owner, straggler.slot)),
            );
        }
        for index in 0..full.net.len() as u8 {
            events.extend([Event::Arrive(index), Event::Lose(index)]);
            if full.net.len() <= self.bounds.net {
                events.push(Event::Repeat(index));
            }
        }
        for (index, job) in full.jobs.iter().enumerate() {
            let index = index as u8;
            events.push(Event::FailAttempt(index));
            if job.started.is_some() && !job.reported {
                events.push(Event::Report(index));
            }
            if job.started.is_some() {
                events.extend([Event::Finish(index), Event::FinishTruncated(index)]);
            } else if s.engine_known && s.engine >= job.min_version {
                events.push(Event::Start(index));
            }
        }
        if s.published.0 < self.bounds.max_version {
            events.push(Event::Publish);
        }
        if s.engine < s.published {
            events.push(Event::Swap);
            events.push(Event::FailSwap { took_effect: false });
            events.push(Event::FailSwap { took_effect: true });
        }
        if !s.engine_known {
            events.push(Event::DetermineVersion);
        }
        if full.trainer.saved_position != full.trainer.position {
            events.extend([Event::Checkpoint, Event::RestartTrainer]);
        }
        if s.lease_live {
            events.push(Event::ExpireLease);
        }
        events.push(if s.store_up {
            Event::StoreDown
        } else {
            Event::StoreUp
        });
        let may_fail = |event| s.faults_left > 0 && (self.bounds.allowed_faults)(event);
        events.retain(|event| !event.is_fault() || may_fail(*event));
        events
    }

    fn apply(&self, mut full: FullState, event: Event) -> Outcome<FullState> {
        full.scalars.faults_left -= u8::from(event.is_fault());
        let s = &mut full.scalars;
        match event {
            Event::Pull(owner) => {
                let pull = full.pull_message(owner);
                full.net.push(pull);
            }
            Event::Arrive(index) => {
                let message = full.net.remove(index as usize);
                self.arrive(&mut full, message)?;
            }
            Event::Lose(index) => {
                let message = full.net.remove(index as usize);
                if let Message::Result {
                    owner,
                    slot,
                    attempt,
                    ..
                } = message
                {
                    self.fail(&mut full, owner, slot, attempt);
                }
            }
            Event::Repeat(index) => full.net.push(full.net[index as usize].clone()),
            Event::Start(index) => full.jobs[index as usize].started = Some(s.engine),
            Event::Report(index) => self.report(&mut full, index as usize),
            Event::Finish(index) => full.finish_job(index as usize, false),
            Event::FinishTruncated(index) => full.finish_job(index as usize, true),
            Event::FailAttempt(index) => {
                let job = full.jobs.remove(index as usize);
                self.fail(&mut full, job.owner, job.slot, job.attempt);
            }
            Event::Publish => {
                s.published.0 += 1;
                full.trainer.position.set_version(s.published);
            }
            Event::Swap => (s.engine, s.engine_known) = (s.published, true),
            Event::FailSwap { took_effect } => {
                s.engine_known = false;
                if took_effect {
                    s.engine = s.published;
                }
            }
            Event::DetermineVersion => s.engine_known = true,
            Event::Checkpoint => {
                full.trainer.saved_position = full.trainer.position.clone();
                full.trainer.saved_taken = full.trainer.taken.clone();
            }
            Event::RestartTrainer => {
                full.trainer.position = full.trainer.saved_position.clone();
                full.trainer.taken = full.trainer.saved_taken.clone();
            }
            Event::CrashOwner(owner) => full.forget_step(owner),
            Event::ExpireLease => s.lease_live = false,
            Event::Acquire(owner) => self.acquire(&mut full, owner),
            Event::NoticeLoss(owner) => full.forget_step(owner),
            Event::StoreDown => s.store_up = false,
            Event::StoreUp => s.store_up = true,
            Event::TimeOut(owner) => {
                self.with_step(&mut full, owner, |step, out| step.tick(PULL_UNTIL, out));
            }
            Event::Hedge(owner, slot) => {
                self.with_step(&mut full, owner, |step, out| {
                    step.hedge(Millis::ZERO, slot, out);
                });
            }
            Event::CompleteWithoutFaults => {}
        }
        Ok(full)
    }

    fn arrive(&self, full: &mut FullState, message: Message) -> Result<(), &'static str> {
        match message {
            Message::Pull {
                owner,
                cursor,
                version,
            } => {
                let pull = pull_of(cursor, version);
                self.with_step(full, owner, |step, out| step.pull(Millis::ZERO, pull, out));
                Ok(())
            }
            Message::Answer(answer) => self.take(&mut full.trainer, answer),
            Message::Result {
                owner,
                slot,
                attempt,
                answer,
            } => {
                let sample = |full: &FullState| {
                    let step = full.owners[owner as usize].as_ref();
                    step.and_then(|step| step.sample(slot)).cloned()
                };
                let before = sample(full);
                self.with_step(full, owner, |step, out| {
                    step.settle(Millis::ZERO, slot, attempt, answer, out);
                });
                let after = sample(full);
                match before.is_some() && after.is_some() && before != after {
                    true => Err(RESETTLED),
                    false => Ok(()),
                }
            }
        }
    }

    /// Processes an answer at the trainer and checks the accepted samples against the weights that
    /// truly generated them.
    fn take(&self, trainer: &mut Trainer, answer: PullAnswer) -> Result<(), &'static str> {
        let remaining = answer.remaining;
        let Ok(samples) = trainer.position.accept(answer, &self.config.guards) else {
            return Ok(());
        };
        for sample in samples {
            let position = self
                .config
                .shape
                .position(sample.slot)
                .ok_or(CURSOR_MISMATCH)?;
            if std::mem::replace(&mut trainer.taken[position as usize], true) {
                return Err(ACCEPTED_TWICE);
            }
            let answer = &sample.answer;
            let made_by = answer.data.iter().map(|byte| Version(u64::from(*byte)));
            let oldest = made_by.clone().min().ok_or(INCOMPLETE)?;
            if answer.tokens != TOKENS || answer.data.len() as u64 != TOKENS {
                return Err(INCOMPLETE);
            }
            if made_by.map(Some).collect::<Vec<_>>() != named_versions(answer) {
                return Err(MISATTRIBUTED);
            }
            if oldest.0 + self.bounds.staleness < trainer.position.version().0 {
                return Err(TOO_OLD);
            }
        }
        self.check_cursor(trainer, remaining)
    }

    fn check_cursor(&self, trainer: &Trainer, remaining: u32) -> Result<(), &'static str> {
        let slots = self.config.shape.slots();
        let cursor = Cursor::parse(trainer.position.cursor(), self.config.tag, slots);
        let cursor = cursor.map_err(|_| CURSOR_MISMATCH)?;
        let held: Vec<_> = (0..slots)
            .map(|position| cursor.contains(position))
            .collect();
        let lacking = trainer.taken.iter().filter(|taken| !**taken).count();
        match held == trainer.taken && remaining as usize == lacking {
            true => Ok(()),
            false => Err(CURSOR_MISMATCH),
        }
    }

    fn acquire(&self, full: &mut FullState, owner: u8) {
        (full.scalars.holder, full.scalars.lease_live) = (Some(owner), true);
        let step = Step::recover(self.config.clone(), Version(0));
        full.owners[owner as usize] = Some(step.expect("the step fits its limits"));
    }

    /// Reports the version of the first token to the owner.
    fn report(&self, full: &mut FullState, index: usize) {
        full.jobs[index].reported = true;
        let job = full.jobs[index].clone();
        let version = job.started.unwrap_or(full.scalars.engine);
        self.with_step(full, job.owner, |step, out| {
            step.progress(Millis::ZERO, job.slot, job.attempt, version, out);
        });
    }

    fn fail(&self, full: &mut FullState, owner: u8, slot: SlotKey, attempt: u32) {
        self.with_step(full, owner, |step, out| {
            step.fail(Millis::ZERO, slot, attempt, Millis::ZERO, out);
        });
    }

    fn with_step(
        &self,
        full: &mut FullState,
        owner: u8,
        act: impl FnOnce(&mut Step, &mut Vec<oleanderlock::step_action::StepAction>),
    ) {
        let mut actions = Vec::new();
        if let Some(step) = &mut full.owners[owner as usize] {
            act(step, &mut actions);
        }
        full.perform(owner, actions, self.bounds.attempts);
    }

    /// Returns whether the trainer gets all slots if no further fault occurs.
    fn can_complete(&self, mut full: FullState) -> bool {
        let owner = full.scalars.holder.unwrap_or(0);
        full.scalars.store_up = true;
        full.scalars.engine = full.scalars.published;
        full.scalars.engine_known = true;
        if full.owners[owner as usize].is_none() {
            self.acquire(&mut full, owner);
        }
        for _ in 0..2 * self.config.shape.slots() + 4 {
            self.run_jobs(&mut full);
            full.net.clear();
            let Message::Pull {
                cursor, version, ..
            } = full.pull_message(owner)
            else {
                return false;
            };
            let pull = pull_of(cursor, version);
            self.with_step(&mut full, owner, |step, out| {
                step.pull(Millis::ZERO, pull, out)
            });
            self.run_jobs(&mut full);
            if full.trainer.taken.iter().all(|taken| *taken) {
                return true;
            }
        }
        false
    }

    /// Runs all jobs and delivers all messages but pulls.
    fn run_jobs(&self, full: &mut FullState) {
        while let Some(message) = full.net.pop() {
            let _ = self.arrive(full, message);
            while !full.jobs.is_empty() && full.net.is_empty() {
                full.finish_job(0, false);
            }
        }
        while !full.jobs.is_empty() {
            full.finish_job(0, false);
            while let Some(message) = full.net.pop() {
                let _ = self.arrive(full, message);
            }
        }
    }
}
