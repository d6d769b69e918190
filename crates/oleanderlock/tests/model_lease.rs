//! Model check of leases with fencing numbers, and of store writes whose answer is lost.

#[path = "request_support/explore.rs"]
mod explore;

use explore::{Found, Pool, Step, explore, peak_mib};
use oleanderlock::fence_gate::FenceGate;
use oleanderlock::guards::Guards;
use oleanderlock::lease::Lease;
use oleanderlock::lease_action::LeaseAction;
use oleanderlock::lease_answer::LeaseAnswer;
use oleanderlock::lease_record::LeaseRecord;
use oleanderlock::lease_term::LeaseTerm;
use oleanderlock::prelude::*;
use oleanderlock::store_write::StoreWrite;
use oleanderlock::write_id::WriteId;
use oleanderlock::write_log::WriteLog;
use oleanderlock::write_outcome::WriteOutcome;
use std::rc::Rc;

const STATES: usize = 200_000;
const DEEP_STATES: usize = 10_000_000;
const MAX_TIME: u64 = 10;

/// A lease of 4 ticks; the margin covers one tick of drift and one of rounding.
const TERM: LeaseTerm = LeaseTerm {
    length: Millis(4),
    margin: Millis(2),
    renew: Millis(1),
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    leases: [Lease; 2],
    /// The call to the store that each contender has in flight.
    calls: [Option<LeaseAction>; 2],
    answers: [Option<LeaseAnswer>; 2],
    /// Writes that may still arrive though their contender no longer waits for the answer.
    strays: Vec<(u64, LeaseRecord)>,
    /// How far each contender's clock is ahead, in ticks.
    ahead: [u64; 2],
    object: Option<LeaseRecord>,
    version: u64,
    gate: FenceGate,
    orders: Vec<Fence>,
    executed: Fence,
    now: u64,
    faults: u8,
}

impl World {
    fn start(guards: Guards, faults: u8) -> Self {
        let lease = |id| Lease::with_guards(Incarnation(id), TERM, guards);
        Self {
            leases: [lease(1), lease(2)],
            calls: [None; 2],
            answers: [None; 2],
            strays: Vec::new(),
            ahead: [0; 2],
            object: None,
            version: 0,
            gate: FenceGate::with_guards(guards),
            orders: Vec::new(),
            executed: Fence(0),
            now: 0,
            faults,
        }
    }

    fn clock(&self, who: usize) -> Millis {
        Millis(self.now + self.ahead[who])
    }

    fn write(&mut self, base: u64, record: LeaseRecord) -> LeaseAnswer {
        if base != self.version {
            return LeaseAnswer::Conflict;
        }
        self.object = Some(record);
        self.version += 1;
        LeaseAnswer::Written(self.version)
    }

    fn serve(&mut self, call: LeaseAction) -> LeaseAnswer {
        match call {
            LeaseAction::Read => LeaseAnswer::Read {
                version: self.version,
                record: self.object,
            },
            LeaseAction::Write { base, record } => self.write(base, record),
        }
    }

    fn lose(&mut self, who: usize) {
        if let Some(LeaseAction::Write { base, record }) = self.calls[who].take() {
            self.strays.push((base, record));
        }
        self.answers[who] = None;
        let now = self.clock(who);
        self.leases[who].on_answer(now, LeaseAnswer::Unavailable);
    }

    fn holders(&self) -> usize {
        let acts = |who: &usize| self.leases[*who].may_act(self.clock(*who)).is_some();
        [0, 1].iter().filter(|who| acts(who)).count()
    }

    /// Executes an order if the gate admits it; returns false if a newer one was executed before.
    fn execute(&mut self, fence: Fence) -> bool {
        if self.gate.admit(fence).is_err() {
            return true;
        }
        let in_order = fence >= self.executed;
        self.executed = fence;
        in_order
    }
}

type Next = Vec<(String, World, Option<&'static str>)>;

fn add(next: &mut Next, label: String, world: World) {
    let violated = (world.holders() > 1).then_some("at most one holder at a time");
    next.push((label, world, violated));
}

fn contender(world: &World, who: usize, next: &mut Next) {
    let now = world.clock(who);
    let mut ticked = world.clone();
    if let Some(action) = ticked.leases[who].tick(now) {
        ticked.calls[who] = Some(action);
        add(next, format!("{who} {action:?}"), ticked);
    }
    if let Some(call) = world.calls[who] {
        let mut served = world.clone();
        served.calls[who] = None;
        served.answers[who] = Some(served.serve(call));
        add(next, format!("store serves {who}"), served);
    }
    if let Some(answer) = world.answers[who] {
        let mut answered = world.clone();
        answered.answers[who] = None;
        answered.leases[who].on_answer(now, answer);
        add(next, format!("{who} gets {answer:?}"), answered);
    }
    let waits = world.calls[who].is_some() || world.answers[who].is_some();
    if waits && world.faults > 0 {
        let mut lost = world.clone();
        lost.faults -= 1;
        lost.lose(who);
        add(next, format!("{who} gets no answer"), lost);
    }
    if world.ahead[who] == 0 && world.faults > 0 {
        let mut drifted = world.clone();
        drifted.faults -= 1;
        drifted.ahead[who] = 1;
        add(next, format!("clock of {who} gains"), drifted);
    }
    if let Some(fence) = world.leases[who].may_act(now)
        && world.orders.len() < 2
    {
        let mut ordered = world.clone();
        ordered.orders.push(fence);
        ordered.orders.sort_unstable();
        add(next, format!("{who} orders with {fence:?}"), ordered);
    }
}

fn lease_steps(world: &World) -> Next {
    let mut next = Vec::new();
    for who in 0..2 {
        contender(world, who, &mut next);
    }
    for index in 0..world.strays.len() {
        let mut late = world.clone();
        let (base, record) = late.strays.remove(index);
        late.write(base, record);
        add(&mut next, "a late write reaches the store".into(), late);
    }
    for index in 0..world.orders.len() {
        let mut arrived = world.clone();
        let fence = arrived.orders.remove(index);
        let in_order = arrived.execute(fence);
        let violated = (!in_order).then_some("no order with an old fencing token");
        next.push((format!("order {fence:?} arrives"), arrived, violated));
    }
    if world.now < MAX_TIME {
        let mut later = world.clone();
        later.now += 1;
        add(&mut next, "time passes".into(), later);
    }
    next
}

/// A state as indexes into the pools of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    leases: [u32; 2],
    rest: u32,
    now: u8,
}

struct Pools {
    leases: Pool<Lease>,
    /// Worlds without the leases and the time.
    rests: Pool<World>,
}

impl Pools {
    fn pack(&mut self, mut world: World) -> State {
        let blank = Lease::new(Incarnation(0), TERM);
        let leases = std::mem::replace(&mut world.leases, [blank; 2]);
        let now = std::mem::take(&mut world.now);
        State {
            leases: leases.map(|lease| self.leases.put(Rc::new(lease))),
            rest: self.rests.put(Rc::new(world)),
            now: now as u8,
        }
    }

    fn unpack(&self, state: &State) -> World {
        World {
            leases: state.leases.map(|id| *self.leases.get(id)),
            now: u64::from(state.now),
            ..World::clone(&self.rests.get(state.rest))
        }
    }
}

fn check_lease(guards: Guards, faults: u8, limit: usize) -> Found {
    let mut pools = Pools {
        leases: Pool::new(),
        rests: Pool::new(),
    };
    let start = pools.pack(World::start(guards, faults));
    let found = explore(start, limit, |state, _| {
        let steps = lease_steps(&pools.unpack(state)).into_iter();
        let pack = |(label, world, violated)| Step {
            label,
            state: pools.pack(world),
            violated,
        };
        steps.map(pack).collect()
    });
    println!(
        "{} leases, {} other parts",
        pools.leases.len(),
        pools.rests.len()
    );
    print(&found);
    found
}

fn print(found: &Found) {
    let end = found.end();
    println!(
        "{} states, depth {}, {end}, violated {:?}, peak {} MiB",
        found.states,
        found.depth,
        found.violated,
        peak_mib()
    );
    for step in &found.trace {
        println!("    {step}");
    }
}

#[test]
fn lease_invariants_hold() {
    assert_eq!(check_lease(Guards::ALL, 1, STATES).violated, None);
}

#[test]
#[ignore = "deep bounds, for `make model-check`"]
fn lease_invariants_hold_deep() {
    assert_eq!(check_lease(Guards::ALL, 3, DEEP_STATES).violated, None);
}

#[test]
fn disabled_lease_guards_are_detected() {
    let without_margin = Guards {
        lease_margin: false,
        ..Guards::ALL
    };
    assert_eq!(
        check_lease(without_margin, 1, STATES).violated,
        Some("at most one holder at a time")
    );
    let without_fencing = Guards {
        fencing_token: false,
        ..Guards::ALL
    };
    assert_eq!(
        check_lease(without_fencing, 0, STATES).violated,
        Some("no order with an old fencing token")
    );
}

/// An object with one write of interest, which may take effect at any time, among other writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Object {
    version: u64,
    log: WriteLog,
    pending: bool,
    applied: bool,
    found_never: bool,
}

const WRITE: StoreWrite = StoreWrite {
    id: WriteId(1000),
    base: 2,
};

fn apply(object: &Object, write: StoreWrite) -> Object {
    let holds = object.version == write.base;
    let mut next = object.clone();
    if holds {
        next.version += 1;
        next.log = object.log.with(write);
    }
    next
}

fn write_steps(object: &Object, guards: Guards) -> Vec<Step<Object>> {
    let mut steps = Vec::new();
    let other = StoreWrite {
        id: WriteId(object.version),
        base: object.version,
    };
    let mut step = |label: &str, state: Object| {
        let outcome = WRITE.resolve_with(state.version, &state.log, guards);
        let newest = state.version == WRITE.base + 1;
        let is_true = match outcome {
            WriteOutcome::TookEffect => state.applied && newest,
            WriteOutcome::Overwritten => state.applied && !newest,
            WriteOutcome::NeverTookEffect => !state.applied,
            WriteOutcome::CannotTell => true,
        };
        let state = Object {
            found_never: state.found_never || outcome == WriteOutcome::NeverTookEffect,
            ..state
        };
        let later = state.found_never && state.applied;
        steps.push(Step {
            label: format!("{label}: {outcome:?}"),
            violated: (!is_true || later).then_some("the resolved outcome is true"),
            state,
        });
    };
    if object.version < 40 {
        step("another write", apply(object, other));
    }
    if object.pending && object.version >= WRITE.base {
        let mut landed = apply(object, WRITE);
        landed.applied = landed.version > object.version;
        landed.pending = false;
        step("the write arrives", landed);
        let mut lost = object.clone();
        lost.pending = false;
        step("the write is lost", lost);
    }
    steps
}

fn check_write(guards: Guards) -> Found {
    let start = Object {
        version: 0,
        log: WriteLog::default(),
        pending: true,
        applied: false,
        found_never: false,
    };
    let found = explore(start, STATES, |object, _| write_steps(object, guards));
    print(&found);
    found
}

#[test]
fn write_outcome_invariant_holds() {
    let found = check_write(Guards::ALL);
    assert_eq!(found.violated, None);
    assert!(found.exhausted);
}

#[test]
fn disabled_write_guard_is_detected() {
    let guards = Guards {
        log_reach: false,
        ..Guards::ALL
    };
    assert_eq!(
        check_write(guards).violated,
        Some("the resolved outcome is true")
    );
}
