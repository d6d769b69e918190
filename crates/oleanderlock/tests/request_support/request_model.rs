//! Transitions of the request model: all events that can happen next, run on the production code.

use super::explore::{Found, Pool, Step, explore};
use super::request_world::*;
use oleanderlock::attempt_ledger::{AttemptLedger, SubmitAction};
use oleanderlock::key_binder::{BindAction, BindCall};
use oleanderlock::key_binding::{KeyBinding, KeyHash};
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::request_tracker::{
    Placement, RequestSpec, RequestTracker, TrackAction, TrackEvent,
};
use oleanderlock::store_answer::{NO_VERSION, ReadAnswer, WriteAnswer};
use oleanderlock::submission::Submission;
use std::rc::Rc;

/// Time after the end of all explorations, so that no binding expires.
const LATER: Millis = Millis(1 << 40);

/// A state, as indices of its parts in the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    agents: [u32; AGENTS],
    entries: [u32; ENTRIES],
    net: u32,
    store: u32,
    record: u32,
    now: u8,
    faults: u8,
}

struct Pools {
    agents: Pool<Agent>,
    entries: Pool<Entry>,
    nets: Pool<Vec<Message>>,
    stores: Pool<Store>,
    records: Pool<Record>,
}

impl Pools {
    fn new() -> Self {
        Self {
            agents: Pool::new(),
            entries: Pool::new(),
            nets: Pool::new(),
            stores: Pool::new(),
            records: Pool::new(),
        }
    }

    fn pack(&mut self, world: &World) -> State {
        State {
            agents: world.agents.clone().map(|agent| self.agents.put(agent)),
            entries: world.entries.clone().map(|entry| self.entries.put(entry)),
            net: self.nets.put(Rc::clone(&world.net)),
            store: self.stores.put(Rc::clone(&world.store)),
            record: self.records.put(Rc::clone(&world.record)),
            now: world.now as u8,
            faults: world.faults,
        }
    }

    fn unpack(&self, state: &State) -> World {
        World {
            agents: state.agents.map(|id| self.agents.get(id)),
            entries: state.entries.map(|id| self.entries.get(id)),
            net: self.nets.get(state.net),
            store: self.stores.get(state.store),
            record: self.records.get(state.record),
            now: u64::from(state.now),
            faults: state.faults,
            violated: None,
        }
    }
}

/// Explores a scenario until a violation is found or `limit` states are expanded.
pub fn check(scenario: &Scenario, limit: usize) -> Found {
    let mut pools = Pools::new();
    let start = pools.pack(&World::start(scenario));
    let found = explore(start, limit, |state, labelled| {
        let world = pools.unpack(state);
        let mut steps = Steps {
            scenario,
            world: &world,
            labelled,
            next: Vec::new(),
        };
        steps.all();
        let pack = |(label, world): (String, World)| Step {
            label,
            state: pools.pack(&world),
            violated: world.violated,
        };
        steps.next.into_iter().map(pack).collect()
    });
    let parts = pools.agents.len() + pools.entries.len() + pools.nets.len();
    println!("  {}: {parts} distinct parts", scenario.name);
    found
}

struct Steps<'a> {
    scenario: &'a Scenario,
    world: &'a World,
    labelled: bool,
    next: Vec<(String, World)>,
}

impl Steps<'_> {
    fn all(&mut self) {
        self.time();
        for entry in 0..self.scenario.calls.len() {
            self.entry(entry);
        }
        for slot in 0..self.scenario.agents {
            self.agent(slot);
        }
        for index in 0..self.world.net.len() {
            self.message(index);
        }
        self.store();
    }

    fn step(&mut self, label: impl FnOnce() -> String, change: impl FnOnce(&Scenario, &mut World)) {
        let mut world = self.world.clone();
        change(self.scenario, &mut world);
        let label = if self.labelled {
            label()
        } else {
            String::new()
        };
        self.next.push((label, world));
    }

    fn fault(
        &mut self,
        label: impl FnOnce() -> String,
        change: impl FnOnce(&Scenario, &mut World),
    ) {
        if self.world.faults == 0 {
            return;
        }
        self.step(label, |scenario, world| {
            world.faults -= 1;
            change(scenario, world);
        });
    }

    fn time(&mut self) {
        if self.world.now == self.scenario.max_time {
            return;
        }
        self.step(
            || "time passes".into(),
            |scenario, world| {
                world.now += 1;
                for entry in 0..ENTRIES {
                    let now = Millis(world.now);
                    let late = world.entry(entry).binder.expire(now);
                    bind_actions(scenario, world, entry, late);
                    track_event(scenario, world, entry, TrackEvent::Tick);
                }
            },
        );
    }

    fn entry(&mut self, entry: usize) {
        match self.world.entries[entry].call.clone() {
            CallState::Waiting => self.step(
                || format!("call {entry} arrives"),
                |scenario, world| arrive(scenario, world, entry),
            ),
            CallState::Tracked(track) => self.tracked(entry, &track),
            CallState::Binding | CallState::Over | CallState::Crashed => {}
        }
        let call = &self.world.entries[entry].call;
        if !matches!(
            call,
            CallState::Waiting | CallState::Over | CallState::Crashed
        ) {
            self.fault(
                || format!("entry {entry} crashes"),
                |scenario, world| {
                    let calls = world.entry(entry).store_calls;
                    *world.entry(entry) = Entry {
                        call: CallState::Crashed,
                        binder: scenario.binder(),
                        store_call: None,
                        store_calls: calls,
                    };
                },
            );
        }
    }

    fn tracked(&mut self, entry: usize, track: &RequestTracker) {
        let Some(ticket) = track.current() else {
            return self.choosing(entry);
        };
        let gone = TrackEvent::AgentGone(ticket.incarnation);
        for event in [
            TrackEvent::Disconnected(ticket),
            gone,
            TrackEvent::CallerGone,
        ] {
            self.fault(
                || format!("entry {entry}: {event:?}"),
                |scenario, world| track_event(scenario, world, entry, event.clone()),
            );
        }
        let submit = |message: &Message| matches!(message, Message::Submit(from, s, true) if *from == entry && s.ticket == ticket);
        if let Some(index) = self.world.net.iter().position(submit) {
            self.fault(
                || format!("entry {entry} can't send {ticket}"),
                |scenario, world| {
                    Rc::make_mut(&mut world.net).remove(index);
                    track_event(scenario, world, entry, TrackEvent::NotSent(ticket));
                },
            );
        }
    }

    fn choosing(&mut self, entry: usize) {
        for slot in 0..self.scenario.agents {
            let current = self.world.agents[slot].ledger.incarnation();
            for incarnation in [incarnation(slot, 0), current] {
                self.step(
                    || format!("entry {entry} routes to {incarnation}"),
                    |scenario, world| {
                        track_event(scenario, world, entry, TrackEvent::Route(incarnation));
                    },
                );
            }
        }
        self.step(
            || format!("entry {entry} finds no endpoint"),
            |scenario, world| {
                let event = TrackEvent::NoRoute(ErrorKind::NoEndpoint);
                track_event(scenario, world, entry, event);
            },
        );
    }

    fn agent(&mut self, slot: usize) {
        for (index, job) in self.world.agents[slot].jobs.clone().into_iter().enumerate() {
            let ticket = job.submission.ticket;
            if job.running {
                let data = job.submission.fingerprint.to_string();
                let whole = Outcome::answered(200, data.into());
                self.step(
                    || format!("agent {slot} finishes {ticket}"),
                    |_, world| finish(world, slot, index, whole),
                );
                let broken = Outcome::failed(ErrorKind::EndpointFailed, Ran::Unknown);
                self.fault(
                    || format!("agent {slot} loses the endpoint's answer to {ticket}"),
                    |_, world| finish(world, slot, index, broken),
                );
                continue;
            }
            self.step(
                || format!("agent {slot} starts {ticket}"),
                |scenario, world| {
                    start(world, slot, index);
                    check_reported_not_run(scenario, world);
                },
            );
            let refused = Outcome::failed(ErrorKind::Overloaded, Ran::No);
            self.fault(
                || format!("agent {slot} refuses {ticket}"),
                |_, world| finish(world, slot, index, refused),
            );
        }
        self.fault(
            || format!("agent {slot} restarts"),
            |scenario, world| {
                let agent = world.agent(slot);
                let next = Incarnation(agent.ledger.incarnation().0 + 10);
                let limits = scenario.limits();
                agent.ledger = AttemptLedger::with_guards(next, limits, scenario.guards);
                agent.jobs.clear();
                agent.senders.clear();
            },
        );
    }

    fn message(&mut self, index: usize) {
        let message = self.world.net[index].clone();
        self.step(
            || format!("arrives: {message:?}"),
            |scenario, world| {
                Rc::make_mut(&mut world.net).remove(index);
                deliver(scenario, world, message.clone());
            },
        );
        if message.is_store_call() {
            return;
        }
        self.fault(
            || format!("lost: {message:?}"),
            |_, world| {
                Rc::make_mut(&mut world.net).remove(index);
            },
        );
        self.fault(
            || format!("arrives and stays: {message:?}"),
            |scenario, world| {
                if let Message::Submit(_, _, fresh) = &mut Rc::make_mut(&mut world.net)[index] {
                    *fresh = false;
                }
                deliver(scenario, world, message.clone());
            },
        );
    }

    fn store(&mut self) {
        if !self
            .scenario
            .calls
            .iter()
            .any(|call| call.key == Key::Chosen)
        {
            return;
        }
        let toggle = |_: &Scenario, world: &mut World| {
            let store = Rc::make_mut(&mut world.store);
            store.up = !store.up;
        };
        match self.world.store.up {
            true => self.fault(|| "store goes down".into(), toggle),
            false => self.step(|| "store comes up".into(), toggle),
        }
        for entry in 0..ENTRIES {
            let Some(is_write) = self.world.entries[entry].store_call else {
                continue;
            };
            self.fault(
                || format!("entry {entry} gets no answer from the store"),
                |scenario, world| {
                    let call = world.entries[entry].store_calls;
                    let answer = match is_write {
                        true => Message::StoreWritten(entry, call, WriteAnswer::Lost),
                        false => Message::StoreValue(entry, call, None, false),
                    };
                    deliver(scenario, world, answer);
                },
            );
        }
    }
}

impl Message {
    const fn is_store_call(&self) -> bool {
        matches!(
            self,
            Self::StoreRead(..)
                | Self::StoreWrite(..)
                | Self::StoreValue(..)
                | Self::StoreWritten(..)
        )
    }
}

fn arrive(scenario: &Scenario, world: &mut World, entry: usize) {
    let call = scenario.calls[entry];
    match call.key {
        Key::None => track(scenario, world, entry, Placement::Free),
        Key::Issued => {
            let placement = bound(entry, incarnation(0, 0));
            track(scenario, world, entry, placement);
        }
        Key::Chosen => {
            world.entry(entry).call = CallState::Binding;
            let proposal = KeyBinding {
                agent: String::new(),
                incarnation: incarnation(entry % scenario.agents, 0),
                horizon: Millis(call.horizon),
                fingerprint: call.fingerprint,
                expires: LATER,
            };
            let bind = BindCall {
                call: entry as u64,
                key: KeyHash(call.request),
                proposal,
                deadline: Millis(call.deadline),
                first_call: entry == 0,
            };
            let actions = world.entry(entry).binder.bind(Millis::ZERO, bind);
            bind_actions(scenario, world, entry, actions);
        }
    }
}

fn bound(entry: usize, incarnation: Incarnation) -> Placement {
    Placement::Bound {
        incarnation,
        first_call: entry == 0,
    }
}

fn track(scenario: &Scenario, world: &mut World, entry: usize, placement: Placement) {
    let call = scenario.calls[entry];
    let spec = RequestSpec {
        id: RequestId(call.request),
        idempotent: false,
        deadline: Millis(call.deadline),
        first_attempt: 10 * entry as u32,
        placement,
    };
    let (track, action) = RequestTracker::with_guards(spec, scenario.track(), scenario.guards);
    world.entry(entry).call = CallState::Tracked(track);
    track_action(scenario, world, entry, action);
}

fn track_event(scenario: &Scenario, world: &mut World, entry: usize, event: TrackEvent) {
    let now = Millis(world.now);
    let CallState::Tracked(track) = &mut world.entry(entry).call else {
        return;
    };
    if let Some(action) = track.step(now, event) {
        track_action(scenario, world, entry, action);
        return;
    }
    if track.is_done() {
        world.entry(entry).call = CallState::Over;
    }
}

fn track_action(scenario: &Scenario, world: &mut World, entry: usize, action: TrackAction) {
    match action {
        TrackAction::Choose => {}
        TrackAction::Send(ticket) => {
            let submission = submission(scenario, entry, ticket);
            world.send(Message::Submit(entry, submission, true));
        }
        TrackAction::Bury(ticket) => {
            let submission = submission(scenario, entry, ticket);
            world.send(Message::Bury(entry, submission));
        }
        TrackAction::Answer(outcome) => answer(scenario, world, entry, &outcome),
    }
    let over = matches!(&world.entries[entry].call, CallState::Tracked(track) if track.is_done());
    if over {
        world.entry(entry).call = CallState::Over;
    }
}

fn submission(scenario: &Scenario, entry: usize, ticket: Ticket) -> Submission {
    let call = scenario.calls[entry];
    Submission {
        ticket,
        idempotent: false,
        deadline: Millis(call.deadline),
        horizon: Millis(call.horizon),
        fingerprint: call.fingerprint,
    }
}

/// Answers the caller and checks the answer against what ran.
fn answer(scenario: &Scenario, world: &mut World, entry: usize, outcome: &Outcome) {
    world.entry(entry).call = CallState::Over;
    let call = scenario.calls[entry];
    let work = |run: &&(u128, u64, usize)| run.0 == call.request && run.1 == call.fingerprint;
    let ran = world.record.runs.iter().any(|run| work(&run));
    if outcome.ran == Ran::No {
        Rc::make_mut(&mut world.record).reported_not_run[entry] = true;
        check_reported_not_run(scenario, world);
    }
    let own = call.fingerprint.to_string();
    let foreign = outcome.data.as_ref().is_some_and(|data| *data != own);
    if foreign || (outcome.ran == Ran::Yes && !ran) {
        world.violated = Some("an answer is that of its own request");
    }
}

/// Checks answers with "not run": neither that call nor earlier ones with the same key may ever
/// run.
fn check_reported_not_run(scenario: &Scenario, world: &mut World) {
    for (entry, call) in scenario.calls.iter().enumerate() {
        let same = |run: &(u128, u64, usize)| run.0 == call.request && run.1 == call.fingerprint;
        let covered = |run: &&(u128, u64, usize)| same(run) && run.2 <= entry;
        if world.record.reported_not_run[entry] && world.record.runs.iter().any(|run| covered(&run))
        {
            world.violated = Some("work reported as not run never runs");
        }
    }
}

fn start(world: &mut World, slot: usize, index: usize) {
    let now = Millis(world.now);
    let agent = world.agent(slot);
    let job = agent.jobs[index];
    match agent.ledger.start(now, job.submission.ticket, false) {
        Ok(()) => {
            agent.jobs[index].running = true;
            world.run(&job);
        }
        Err(outcome) => notify(world, slot, index, outcome),
    }
}

fn finish(world: &mut World, slot: usize, index: usize, outcome: Outcome) {
    let agent = world.agent(slot);
    let ticket = agent.jobs[index].submission.ticket;
    agent.ledger.finish(ticket, false, outcome.clone());
    notify(world, slot, index, outcome);
}

/// Sends the outcome of a job to all its senders and removes the job.
fn notify(world: &mut World, slot: usize, index: usize, outcome: Outcome) {
    let agent = world.agent(slot);
    let job = agent.jobs.remove(index);
    let request = job.submission.ticket.request;
    let mine = agent
        .senders
        .extract_if(.., |sender| sender.ticket.request == request);
    for sender in mine.collect::<Vec<_>>() {
        world.send(Message::Finish(sender, outcome.clone()));
    }
}

fn deliver(scenario: &Scenario, world: &mut World, message: Message) {
    match message {
        Message::Submit(entry, submission, _) => submit(world, entry, submission),
        Message::Bury(entry, submission) => bury(world, entry, submission),
        Message::Finish(to, outcome) => {
            let event = TrackEvent::Finished(to.ticket, outcome);
            track_event(scenario, world, to.entry, event);
        }
        Message::Buried(to, ran) => {
            track_event(
                scenario,
                world,
                to.entry,
                TrackEvent::Buried(to.ticket, ran),
            );
        }
        Message::StoreRead(entry, call) => {
            let store = Rc::clone(&world.store);
            world.send(Message::StoreValue(
                entry,
                call,
                store.object.clone(),
                store.up,
            ));
        }
        Message::StoreWrite(entry, call, base, value) => {
            let answer = store_write(world, base, value);
            world.send(Message::StoreWritten(entry, call, answer));
        }
        Message::StoreValue(entry, call, object, up) => {
            if world.entries[entry].is_current(call) {
                let answer = read_answer(object, up);
                let part = world.entry(entry);
                part.store_call = None;
                let actions = part.binder.on_read(Millis::ZERO, 0, answer);
                bind_actions(scenario, world, entry, actions);
            }
        }
        Message::StoreWritten(entry, call, answer) => {
            if world.entries[entry].is_current(call) {
                let part = world.entry(entry);
                part.store_call = None;
                let actions = part.binder.on_written(Millis::ZERO, 0, answer);
                bind_actions(scenario, world, entry, actions);
            }
        }
    }
}

impl Entry {
    const fn is_current(&self, call: u8) -> bool {
        self.store_call.is_some() && self.store_calls == call
    }
}

fn read_answer(object: Option<(u64, Rc<str>)>, up: bool) -> ReadAnswer {
    match object {
        _ if !up => ReadAnswer::Unavailable,
        None => ReadAnswer::Missing,
        Some((version, value)) => ReadAnswer::Object {
            version,
            value: value.to_string(),
        },
    }
}

fn store_write(world: &mut World, base: Option<u64>, value: Rc<str>) -> WriteAnswer {
    let store = Rc::make_mut(&mut world.store);
    if !store.up {
        return WriteAnswer::Refused;
    }
    let version = store.object.as_ref().map_or(NO_VERSION, |object| object.0);
    if base.is_some_and(|base| base != version) {
        return WriteAnswer::Conflict;
    }
    store.object = Some((version + 1, value));
    WriteAnswer::Written(version + 1)
}

fn bind_actions(scenario: &Scenario, world: &mut World, entry: usize, actions: Vec<BindAction>) {
    for action in actions {
        match action {
            BindAction::Read(_) => {
                let call = next_store_call(world, entry, false);
                world.send(Message::StoreRead(entry, call));
            }
            BindAction::Write { base, value, .. } => {
                let call = next_store_call(world, entry, true);
                world.send(Message::StoreWrite(entry, call, base, value.into()));
            }
            BindAction::Bound { binding, .. } => {
                track(scenario, world, entry, bound(entry, binding.incarnation));
            }
            BindAction::Refuse { kind, ran, .. } => {
                answer(scenario, world, entry, &Outcome::failed(kind, ran));
            }
        }
    }
}

fn next_store_call(world: &mut World, entry: usize, is_write: bool) -> u8 {
    let entry = world.entry(entry);
    entry.store_call = Some(is_write);
    entry.store_calls += 1;
    entry.store_calls
}

fn submit(world: &mut World, entry: usize, submission: Submission) {
    let now = Millis(world.now);
    let sender = Sender {
        entry,
        ticket: submission.ticket,
    };
    let slot = slot_of(submission.ticket.incarnation);
    let agent = world.agent(slot);
    let add_sender = |agent: &mut Agent| {
        if !agent.senders.contains(&sender) {
            agent.senders.push(sender);
            agent.senders.sort_unstable();
        }
    };
    match agent.ledger.submit(now, &submission) {
        SubmitAction::Start => {
            agent.jobs.push(Job {
                submission,
                entry,
                running: false,
            });
            add_sender(agent);
        }
        SubmitAction::Attach => add_sender(agent),
        SubmitAction::Repeat(outcome) => world.send(Message::Finish(sender, outcome)),
        SubmitAction::Refuse(kind, ran) => {
            world.send(Message::Finish(sender, Outcome::failed(kind, ran)));
        }
    }
}

fn bury(world: &mut World, entry: usize, submission: Submission) {
    let now = Millis(world.now);
    let ticket = submission.ticket;
    let slot = slot_of(ticket.incarnation);
    let agent = world.agent(slot);
    let burial = agent.ledger.bury(now, &submission);
    if burial.dequeued {
        let same = |job: &Job| job.submission.ticket.request == ticket.request;
        if let Some(index) = agent.jobs.iter().position(same) {
            let outcome = Outcome::failed(ErrorKind::Cancelled, Ran::No);
            notify(world, slot, index, outcome);
        }
    }
    world.send(Message::Buried(Sender { entry, ticket }, burial.ran));
}
