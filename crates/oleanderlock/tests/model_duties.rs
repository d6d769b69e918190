//! Model check of the usage reports: two processes that both believe that they lead, are suspended and
//! resumed or restarted, whose counts differ because an entry was lost before it reported, a store
//! whose answers get lost or whose writes take effect late, and calls that arrive late. Runs the real
//! [`UsageDuty`].
//!
//! The specification is `docs/spec/duties.md`.

use oleanderlock::duties::duty_record::DutyRecord;
use oleanderlock::duties::duty_write::DutyWrite;
use oleanderlock::duties::pending_window::PendingWindow;
use oleanderlock::duties::usage_duty::UsageDuty;
use oleanderlock::duties::usage_state::UsageState;
use oleanderlock::duties::usage_step::UsageStep;
use oleanderlock::prelude::*;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Shorter than the setting's default, to keep the state space small.
const LEASE: Millis = Millis(1000);
/// Time by which the clock advances at once.
const TICK: Millis = Millis(600);
const START: Millis = Millis(10_000);
/// Longest run.
const TIME_MAX: Millis = Millis(3600);
/// Time at which the first process learns of a request that the second one knows of.
const LEARNS_AT: Millis = Millis(2400);
/// Windows that close.
const WINDOWS: u64 = 1;
const FAULTS_MAX: u32 = 1;
/// Tenures of each process.
const TENURES_MAX: [u32; 2] = [2, 1];
/// Limit of explored states; the state space is smaller.
const STATES_MAX: usize = 3_000_000;

/// Guard of the protocol that an exploration disables, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledGuard {
    /// All guards are active.
    Nothing,
    /// A write takes effect only if the record is as it was read.
    ConditionalWrite,
    /// A write whose effect is not known is followed by a read.
    ReadAfterDoubt,
    /// Counts are written before they are sent.
    WriteBeforeSend,
    /// Counts that were in a write never change.
    FrozenCounts,
    /// A call is sent only shortly after a write.
    Freshness,
    /// A new holder waits before its first call.
    Wait,
    /// A new holder sends what its predecessor has written.
    Succession,
    /// Each holder has a fence of its own.
    Fence,
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Done,
    AnswerLost,
    NotDone,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Tick,
    /// Process and the outcome of what it does next.
    Step(usize, Outcome),
    LateWrite,
    LateCall,
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Process {
    duty: UsageDuty,
    tenures: u32,
}

/// A report as the platform receives it.
#[derive(Clone, Debug)]
struct Call {
    process: usize,
    fence: u64,
    window: PendingWindow,
}

#[derive(Clone, Debug)]
struct World {
    now: Millis,
    store: Option<(DutyRecord<UsageState>, u64)>,
    late_write: Option<DutyWrite<UsageState>>,
    /// Call on its way, with the time by which it arrives.
    late_call: Option<(Call, Millis)>,
    processes: [Process; 2],
    reports: BTreeMap<u64, PendingWindow>,
    /// The last holders that acted, with the time of their last call; newest last.
    acts: Vec<(usize, u64, Millis)>,
    faults: u32,
}

fn duty(process: usize) -> UsageDuty {
    UsageDuty::new(&format!("d{process}"), LEASE, Millis::ZERO)
}

impl World {
    fn new() -> Self {
        let process = |n| Process {
            duty: duty(n),
            tenures: 1,
        };
        Self {
            now: START,
            store: None,
            late_write: None,
            late_call: None,
            processes: [process(0), process(1)],
            reports: BTreeMap::new(),
            acts: Vec::new(),
            faults: 0,
        }
    }

    fn actions() -> Vec<Action> {
        let mut all = vec![Action::Tick, Action::LateWrite, Action::LateCall];
        for process in 0..2 {
            let outcomes = [
                Outcome::Done,
                Outcome::AnswerLost,
                Outcome::NotDone,
                Outcome::Late,
            ];
            all.extend(outcomes.map(|outcome| Action::Step(process, outcome)));
            all.push(Action::Restart(process));
        }
        all
    }

    /// Applies an action; returns false if it is not possible.
    fn apply(&mut self, action: Action, disabled: DisabledGuard) -> Result<bool, String> {
        match action {
            Action::Tick => {
                let overdue = self
                    .late_call
                    .as_ref()
                    .is_some_and(|(_, by)| *by <= self.now);
                if overdue || self.now.since(START) >= TIME_MAX {
                    return Ok(false);
                }
                self.now = self.now.plus(TICK);
                Ok(true)
            }
            Action::Step(process, outcome) => self.step(process, outcome, disabled),
            Action::LateWrite => {
                let Some(write) = self.late_write.take() else {
                    return Ok(false);
                };
                self.carry_out(&write, disabled);
                Ok(true)
            }
            Action::LateCall => {
                let Some((call, _)) = self.late_call.take() else {
                    return Ok(false);
                };
                self.arrive(call)?;
                Ok(true)
            }
            Action::Restart(process) => Ok(self.restart(process)),
        }
    }

    /// Returns the requests of the window that a process knows of: an entry was lost before it sent
    /// its counts to the first one.
    fn known_requests(&self, process: usize) -> u64 {
        u64::from(process == 1 || self.now.since(START) >= LEARNS_AT)
    }

    fn restart(&mut self, process: usize) -> bool {
        let one = &mut self.processes[process];
        if one.tenures == TENURES_MAX[process] {
            return false;
        }
        one.tenures += 1;
        one.duty = duty(process);
        true
    }

    fn step(
        &mut self,
        process: usize,
        outcome: Outcome,
        disabled: DisabledGuard,
    ) -> Result<bool, String> {
        if !matches!(outcome, Outcome::Done) {
            if self.faults == FAULTS_MAX {
                return Ok(false);
            }
            self.faults += 1;
        }
        let now = self.now;
        let requests = self.known_requests(process);
        let one = &mut self.processes[process];
        let close = |through: u64| (through < WINDOWS).then(|| [("w".to_owned(), requests)].into());
        let step = one.duty.next(now, 0, close);
        let step = self.without_guard(process, step, disabled)?;
        match step {
            UsageStep::Over => Ok(self.restart(process)),
            UsageStep::Wait | UsageStep::Order { .. } => Ok(false),
            UsageStep::Read => {
                if !matches!(outcome, Outcome::Done) {
                    return Ok(false);
                }
                let mut found = self.store.clone();
                let duty = &mut self.processes[process].duty;
                if let Some((record, _)) = &mut found
                    && disabled == DisabledGuard::Succession
                    && duty.holder().fence().is_none()
                {
                    record.state.through -= record.state.pending.len() as u64;
                    record.state.pending.clear();
                }
                duty.record_read(now, found);
                Ok(true)
            }
            UsageStep::Write(write) => Ok(self.write(process, write, outcome, disabled)),
            UsageStep::Report { fence, window } => {
                let reused = disabled == DisabledGuard::Fence && fence > 1;
                let call = Call {
                    process,
                    fence: fence - u64::from(reused),
                    window,
                };
                self.send(call, outcome)
            }
        }
    }

    /// Returns the step that a process without a guard would take instead.
    fn without_guard(
        &mut self,
        process: usize,
        step: UsageStep,
        disabled: DisabledGuard,
    ) -> Result<UsageStep, String> {
        let holder = self.processes[process].duty.holder();
        let Some(fence) = holder.fence() else {
            return Ok(step);
        };
        let stored = holder.state().cloned().unwrap_or_default();
        let early = self.now < holder.acts_from();
        let report = |window: PendingWindow| UsageStep::Report { fence, window };
        Ok(match (disabled, step) {
            (DisabledGuard::WriteBeforeSend, UsageStep::Write(write)) if !early => {
                let mut pending = write.record.state.pending.iter();
                let unsent = pending.find(|one| !self.reports.contains_key(&one.window));
                unsent.cloned().map_or(UsageStep::Write(write), report)
            }
            (DisabledGuard::Freshness, UsageStep::Write(write))
                if !early && write.record.state.through == stored.through =>
            {
                let first = write.record.state.pending.first().cloned();
                first.map_or(UsageStep::Write(write), report)
            }
            (DisabledGuard::Wait, UsageStep::Wait) if early => {
                let first = stored.pending.first().cloned();
                first.map_or(UsageStep::Wait, report)
            }
            (_, step) => step,
        })
    }

    fn write(
        &mut self,
        process: usize,
        mut write: DutyWrite<UsageState>,
        outcome: Outcome,
        disabled: DisabledGuard,
    ) -> bool {
        if disabled == DisabledGuard::FrozenCounts {
            let requests = self.known_requests(process);
            let taken = self.processes[process].duty.holder().fence().is_some();
            for pending in write.record.state.pending.iter_mut().filter(|_| taken) {
                pending.counts = [("w".to_owned(), requests)].into();
            }
        }
        let now = self.now;
        let done = match outcome {
            Outcome::NotDone => {
                self.processes[process].duty.record_store_failure(now, 0);
                return true;
            }
            Outcome::Late if self.late_write.is_some() => return false,
            Outcome::Late => {
                self.late_write = Some(write.clone());
                true
            }
            Outcome::Done | Outcome::AnswerLost => self.carry_out(&write, disabled),
        };
        let revision = self.store.as_ref().map_or(0, |(_, revision)| *revision);
        let answered = matches!(outcome, Outcome::Done);
        let duty = &mut self.processes[process].duty;
        if done && (answered || disabled == DisabledGuard::ReadAfterDoubt) {
            duty.record_written(now, now, write, revision);
        } else if answered {
            duty.record_conflict();
        } else {
            duty.record_unanswered(now, write);
        }
        true
    }

    /// Carries a write out if its condition holds; returns whether it did.
    fn carry_out(&mut self, write: &DutyWrite<UsageState>, disabled: DisabledGuard) -> bool {
        let revision = self.store.as_ref().map(|(_, revision)| *revision);
        if revision != write.revision && disabled != DisabledGuard::ConditionalWrite {
            return false;
        }
        self.store = Some((write.record.clone(), revision.unwrap_or(0) + 1));
        true
    }

    fn send(&mut self, call: Call, outcome: Outcome) -> Result<bool, String> {
        let (process, window, now) = (call.process, call.window.window, self.now);
        match outcome {
            Outcome::Late if self.late_call.is_some() => return Ok(false),
            Outcome::Late => self.late_call = Some((call, now.plus(TICK))),
            Outcome::NotDone => {}
            Outcome::Done | Outcome::AnswerLost => self.arrive(call)?,
        }
        let duty = &mut self.processes[process].duty;
        if matches!(outcome, Outcome::Done) {
            duty.record_reported(now, window);
        } else {
            duty.record_unreported(now, 0);
        }
        Ok(true)
    }

    /// Lets a call arrive at the platform, which checks it.
    fn arrive(&mut self, call: Call) -> Result<(), String> {
        let known = self.reports.entry(call.window.window);
        let first = known.or_insert_with(|| call.window.clone());
        if *first != call.window {
            return Err(format!("two reports: {first:?} and {:?}", call.window));
        }
        if let Some((process, fence, _)) = self.acts.last() {
            if call.fence < *fence {
                return Err(format!("fence {} after {fence}", call.fence));
            }
            if call.fence == *fence && call.process != *process {
                return Err(format!("fence {fence} of two holders"));
            }
        }
        let (process, now) = (call.process, self.now);
        let mut earlier = self.acts.iter().rev();
        let other = earlier.position(|(actor, ..)| *actor != process);
        if let Some(other) = other {
            let mut before = self.acts[..self.acts.len() - 1 - other].iter().rev();
            let own = before.find(|(actor, ..)| *actor == process);
            if own.is_some_and(|(_, _, at)| now.since(*at) < LEASE) {
                return Err(format!(
                    "holders {process}, other, {process} within the lease"
                ));
            }
        }
        self.acts
            .retain(|(actor, fence, _)| *actor != process || *fence != call.fence);
        self.acts.push((process, call.fence, now));
        Ok(())
    }

    /// Lets one process run without faults, after which all windows must be reported.
    fn settle(&self) -> Result<(), String> {
        let mut world = self.clone();
        world.late_write = None;
        if let Some((call, _)) = world.late_call.take() {
            world.arrive(call)?;
        }
        for _ in 0..40 {
            while world.step(0, Outcome::Done, DisabledGuard::Nothing)? {}
            if matches!(
                world.processes[0].duty.next(world.now, 0, |_| None),
                UsageStep::Over
            ) {
                world.processes[0].duty = duty(0);
            }
            world.now = world.now.plus(TICK);
        }
        let unreported = (1..=WINDOWS).find(|window| !world.reports.contains_key(window));
        match unreported {
            Some(window) => Err(format!("window {window} is never reported")),
            None => Ok(()),
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores all reachable states; returns their number, or the first violation found.
fn explore(disabled: DisabledGuard) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    while let Some(world) = queue.pop_front() {
        for action in World::actions() {
            let mut next = world.clone();
            if !next.apply(action, disabled)? {
                continue;
            }
            if seen.insert(next.digest()) {
                if seen.len().is_multiple_of(64) || disabled == DisabledGuard::Succession {
                    next.settle()?;
                }
                assert!(seen.len() < STATES_MAX, "more than {STATES_MAX} states");
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_reports_a_window_differently_or_lets_two_holders_act() {
    let states = explore(DisabledGuard::Nothing).expect("no violation");
    println!("{states} states");
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    let guards = [
        DisabledGuard::ConditionalWrite,
        DisabledGuard::ReadAfterDoubt,
        DisabledGuard::WriteBeforeSend,
        DisabledGuard::FrozenCounts,
        DisabledGuard::Freshness,
        DisabledGuard::Wait,
        DisabledGuard::Succession,
        DisabledGuard::Fence,
    ];
    for guard in guards {
        match explore(guard) {
            Err(violation) => println!("{guard:?}: {violation}"),
            Ok(states) => panic!("{guard:?} is not needed in {states} states"),
        }
    }
}
