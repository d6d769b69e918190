//! Engines of models that share a service: whoever is lost, joins, leaves or fails its loads, no model with
//! work is left without weights while an engine could load them.

mod batch_support;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use batch_support::{POLICY, SERVICE, step};
use indexmap::{IndexMap, IndexSet};
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::engine_sets::EngineSets;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::batch::set_engine::SetEngine;
use oleanderlock::prelude::*;

const MODELS: [&str; 4] = ["ma", "mb", "mc", "md"];
const SLOTS: usize = 8;
const TICK_MS: u64 = 100;
const LOAD_MS: u64 = 900;
const RUN_MS: u64 = 1000;
/// Time between two steps of a trainer.
const STEP_MS: u64 = 4000;
/// Time after a disturbance from which the state counts as steady (`contact_ms` of the users' pages).
const CONTACT_MS: u64 = 3000;
/// Longest time for which an item may be at no engine in steady state (LOST of the users' pages).
const AT_NO_ENGINE_MAX_MS: u64 = 5000;

/// What an engine does with orders to load weights.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loads {
    Carries,
    Refuses,
}

#[derive(Debug)]
struct Engine {
    weights: IndexMap<String, u64>,
    loads: Loads,
    /// Slots that it offers; 0 while a limit allows no request.
    slots: usize,
    leaving: bool,
    /// Model and version that are being loaded, and the time at which the load ends.
    load: Option<(String, u64, u64)>,
    /// End of each run.
    runs: IndexMap<ItemKey, u64>,
}

impl Engine {
    fn new(models: &[&str], loads: Loads) -> Self {
        Self {
            weights: models
                .iter()
                .map(|model| ((*model).to_owned(), 1))
                .collect(),
            loads,
            slots: SLOTS,
            leaving: false,
            load: None,
            runs: IndexMap::new(),
        }
    }

    fn report(&self, agent: &str) -> AgentReport {
        AgentReport {
            agent: agent.to_owned(),
            service: Some(SERVICE.to_owned()),
            slots: if self.leaving { 0 } else { self.slots },
            leaving: self.leaving,
            weights: self.weights.clone(),
            loading: self.load.as_ref().map(|(model, _, _)| model.clone()),
            items: self.runs.keys().map(ItemKey::to_string).collect(),
            ..AgentReport::default()
        }
    }
}

/// Engines, their agents and the trainers, which ask one step after the other.
#[derive(Debug)]
struct Fleet {
    now: u64,
    scheduler: Scheduler,
    engines: IndexMap<String, Engine>,
    /// Items of the steps of each model.
    items: IndexMap<&'static str, usize>,
    steps: IndexMap<&'static str, u64>,
    /// When each item that waits was first seen to wait.
    waits_since: IndexMap<ItemKey, u64>,
    steady_from: u64,
}

impl Fleet {
    fn new(engines: usize, items: &[usize]) -> Self {
        let models = &MODELS[..items.len()];
        let engine = |number| {
            let name = format!("agent-{number}");
            (name, Engine::new(models, Loads::Carries))
        };
        Self {
            now: 10_000,
            scheduler: Scheduler::new(SchedulerConfig::default()),
            engines: (0..engines).map(engine).collect(),
            items: models.iter().copied().zip(items.iter().copied()).collect(),
            steps: IndexMap::new(),
            waits_since: IndexMap::new(),
            steady_from: 0,
        }
    }

    fn job(&self, model: &str, number: u64) -> Job {
        Job {
            id: format!("{model}-{number}"),
            model: model.to_owned(),
            oldest_version: number,
            ..step(self.items[model], 1, |_| None)
        }
    }

    /// Lets a trainer name its next version and ask the step that needs it, once its last one is complete.
    fn ask_step(&mut self, model: &'static str) {
        let last = self.steps.get(model).copied().unwrap_or_default();
        let last_id = format!("{model}-{last}");
        let number = last + 1;
        if let Some(job) = self.scheduler.job(&last_id) {
            if !job.unfinished().is_empty() {
                return;
            }
            self.scheduler.end(&last_id);
        }
        self.steps.insert(model, number);
        self.scheduler.set_target_version(model, number);
        let (job, now) = (self.job(model, number), Millis(self.now));
        self.scheduler.accept(job, POLICY.clone(), now);
    }

    /// Lets all trainers ask their next step, and passes the time until the one after.
    fn play_steps(&mut self) {
        let models: Vec<&'static str> = self.items.keys().copied().collect();
        for model in models {
            self.ask_step(model);
        }
        self.run(STEP_MS);
    }

    /// Lets another dispatcher lead, which knows the open jobs and hears the agents in a given order.
    fn change_leader(&mut self, order: impl Fn(&str) -> u64) {
        self.scheduler = Scheduler::new(SchedulerConfig::default());
        for (model, number) in &self.steps {
            self.scheduler.set_target_version(model, *number);
            let job = self.job(model, *number);
            self.scheduler.accept(job, POLICY.clone(), Millis(self.now));
        }
        let mut agents: Vec<&String> = self.engines.keys().collect();
        agents.sort_by_key(|agent| order(agent));
        for agent in agents {
            let report = self.engines[agent].report(agent);
            self.scheduler.apply_report(Millis(self.now), report);
            self.scheduler.plan_loads(Millis(self.now));
        }
        self.disturb();
    }

    fn lose(&mut self, agent: &str) {
        self.engines.shift_remove(agent);
        self.disturb();
    }

    fn disturb(&mut self) {
        self.steady_from = self.now + CONTACT_MS;
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = Millis(self.now);
        for (name, engine) in &mut self.engines {
            if let Some((model, version, at)) = engine.load.take() {
                if at > self.now {
                    engine.load = Some((model, version, at));
                } else {
                    engine.weights.insert(model, version);
                }
            }
            let ended = engine.runs.iter().filter(|(_, at)| **at <= self.now);
            let ended: Vec<ItemKey> = ended.map(|(key, _)| key.clone()).collect();
            for key in ended {
                engine.runs.shift_remove(&key);
                self.scheduler.finish(&key);
            }
            self.scheduler.apply_report(now, engine.report(name));
        }
        self.scheduler.remove_silent_agents(now);
        for assignment in self.scheduler.assign(now) {
            if let Some(engine) = self.engines.get_mut(&assignment.agent) {
                engine.runs.insert(assignment.key, self.now + RUN_MS);
            }
        }
        for grant in self.scheduler.plan_loads(now) {
            let engine = self.engines.get_mut(&grant.agent);
            let engine = engine.filter(|engine| engine.loads == Loads::Carries);
            if let Some(engine) = engine {
                let end = self.now + LOAD_MS;
                engine.load = Some((grant.model, grant.version, end));
            }
        }
        self.check_waits();
    }

    /// Fails if an item has been at no engine for too long in steady state.
    fn check_waits(&mut self) {
        let running = self.engines.values();
        let running: Vec<&ItemKey> = running.flat_map(|engine| engine.runs.keys()).collect();
        let open = self.scheduler.open_jobs();
        let unfinished = open.flat_map(|job| job.unfinished());
        let waiting = unfinished.filter(|key| !running.contains(&key));
        let waiting: Vec<ItemKey> = waiting.collect();
        self.waits_since.retain(|key, _| waiting.contains(key));
        for key in waiting {
            let since = *self.waits_since.entry(key.clone()).or_insert(self.now);
            let waited = self.now.saturating_sub(since.max(self.steady_from));
            assert!(
                waited <= AT_NO_ENGINE_MAX_MS,
                "{key} was at no engine for {waited} ms: {self:#?}"
            );
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.tick();
        }
    }

    /// Returns the agent whose engine has the newest version of a model, if it is the only one.
    fn only_holder(&self, model: &str) -> Option<String> {
        let newest = self
            .engines
            .values()
            .map(|engine| engine.weights[model])
            .max();
        let holders = self.engines.iter();
        let mut holders = holders.filter(|(_, engine)| Some(engine.weights[model]) == newest);
        let first = holders.next().map(|(agent, _)| agent.clone());
        first.filter(|_| holders.next().is_none())
    }
}

// Guards against a model that gets no engine after the loss of its only one (review/11).
#[test]
fn a_model_whose_only_engine_is_lost_gets_another_one() {
    let mut fleet = Fleet::new(7, &[24, 4, 4]);
    for _ in 0..4 {
        fleet.play_steps();
    }
    fleet.ask_step("mb");
    fleet.run(1500);
    let holder = fleet.only_holder("mb").expect("one engine has the version");
    fleet.lose(&holder);
    fleet.run(4000);
    fleet.ask_step("mb");
    fleet.run(8000);
}

// Guards against a model that has no engine because a new leader knew only the job of another one when it
// heard the agents (review/12).
#[test]
fn a_model_without_an_open_job_at_a_change_of_the_leader_gets_an_engine_later() {
    let mut fleet = Fleet::new(3, &[16, 8, 8]);
    fleet.ask_step("ma");
    fleet.change_leader(|agent| agent.len() as u64);
    fleet.run(500);
    fleet.ask_step("mb");
    fleet.ask_step("mc");
    for _ in 0..4 {
        fleet.run(STEP_MS);
        for model in ["ma", "mb", "mc"] {
            fleet.ask_step(model);
        }
    }
}

// Guards against items of one model that wait for good while those of others run, because there are fewer
// engines than models.
#[test]
fn models_take_turns_at_an_engine_that_serves_all() {
    let mut fleet = Fleet::new(1, &[2, 1, 1]);
    for _ in 0..6 {
        fleet.play_steps();
    }
}

// Guards against a model that waits for an engine which can't load its weights.
#[test]
fn a_model_whose_only_engine_fails_its_loads_gets_another_one() {
    let mut fleet = Fleet::new(4, &[24, 2, 2]);
    for number in 0..4 {
        fleet.play_steps();
        if number == 1 {
            let holder = fleet.only_holder("mb").expect("one engine has the version");
            fleet.engines[&holder].loads = Loads::Refuses;
        }
    }
}

/// Draws one disturbance: an engine is lost, joins, leaves as planned, is limited to no request or fails its
/// loads, or the leader changes.
fn disturb(
    u: &mut Unstructured<'_>,
    fleet: &mut Fleet,
    joined: &mut usize,
) -> arbitrary::Result<()> {
    let names: Vec<String> = fleet.engines.keys().cloned().collect();
    let sound = fleet.engines.values();
    let is_sound =
        |engine: &&Engine| !engine.leaving && engine.slots > 0 && engine.loads == Loads::Carries;
    let sound = sound.filter(is_sound);
    let may_lose = sound.count() > 1;
    let name = u.choose(&names)?.clone();
    match u.int_in_range(0..=4)? {
        0 if may_lose => fleet.lose(&name),
        1 if may_lose => {
            let engine = &mut fleet.engines[&name];
            if u.ratio(1, 2)? {
                engine.leaving = true;
            } else {
                engine.slots = 0;
            }
            fleet.disturb();
        }
        2 => {
            *joined += 1;
            let models: Vec<&str> = fleet.items.keys().copied().collect();
            let engine = Engine::new(&models, Loads::Carries);
            fleet.engines.insert(format!("new-{joined}"), engine);
        }
        3 => {
            let key: u64 = u.arbitrary()?;
            fleet.change_leader(|agent| {
                let bytes = agent.bytes().map(u64::from);
                bytes.fold(key, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte))
            });
        }
        _ if may_lose && fleet.engines[&name].loads == Loads::Carries => {
            let mut others = fleet.engines.values();
            if others.all(|engine| engine.loads == Loads::Carries) {
                fleet.engines[&name].loads = Loads::Refuses;
            }
            fleet.disturb();
        }
        _ => {}
    }
    Ok(())
}

// Guards against a model without weights, whatever happens to the engines and the leader.
#[test]
fn no_item_waits_for_good_while_an_engine_could_load_its_version() {
    arbtest(|u| {
        let models = u.int_in_range(2..=4)?;
        let engines = u.int_in_range(1..=9)?;
        let sizes = (0..models).map(|_| u.int_in_range(1..=4 * SLOTS / 2));
        let sizes: Vec<usize> = sizes.collect::<arbitrary::Result<_>>()?;
        // Half of the slots at most are needed, so that no item waits for one.
        let most = (engines * SLOTS / 2 / models).max(1);
        let sizes: Vec<usize> = sizes.into_iter().map(|size| size.min(most)).collect();
        let mut fleet = Fleet::new(engines, &sizes);
        let mut joined = 0;
        let names: Vec<&'static str> = fleet.items.keys().copied().collect();
        for _ in 0..u.int_in_range(2..=6)? {
            for model in &names {
                // A trainer may pause.
                if u.ratio(3, 4)? {
                    fleet.ask_step(model);
                }
                fleet.run(u.int_in_range(0..=5)? * TICK_MS);
            }
            if u.ratio(1, 2)? {
                disturb(u, &mut fleet, &mut joined)?;
            }
            fleet.run(STEP_MS);
        }
        fleet.run(CONTACT_MS + AT_NO_ENGINE_MAX_MS + TICK_MS);
        Ok(())
    })
    .budget_ms(1000);
}

/// Whether each of `models` could have an engine of its own that takes work and holds it.
fn can_serve_all(models: &[&String], engines: &[&SetEngine]) -> bool {
    let Some((model, others)) = models.split_first() else {
        return true;
    };
    let fits = |engine: &SetEngine| engine.takes_work && engine.models.contains(*model);
    (0..engines.len()).any(|index| {
        let mut rest = engines.to_vec();
        fits(rest.swap_remove(index)) && can_serve_all(others, &rest)
    })
}

// Guards against a set without an engine while there are enough, against engines in the set of a model that
// they don't hold, and against engines that move without a change.
#[test]
fn each_model_has_an_engine_if_there_are_enough() {
    arbtest(|u| {
        let mut sets = EngineSets::default();
        let alike = u.ratio(1, 2)?;
        for _ in 0..u.int_in_range(1..=5)? {
            let mut work = IndexMap::new();
            for model in &MODELS[..u.int_in_range(1..=MODELS.len())?] {
                let amount = *u.choose(&[1, 16, 32, 64, 96, 256, 512])?;
                work.insert((*model).to_owned(), amount);
            }
            let mut engines = IndexMap::new();
            for number in 0..u.int_in_range(0..=7)? {
                let mut models: IndexSet<String> = work.keys().cloned().collect();
                if !alike {
                    let dropped = u.choose(&MODELS)?;
                    models.shift_remove(*dropped);
                }
                // Some are lost, and others come back.
                if u.ratio(4, 5)? {
                    let engine = SetEngine {
                        least_outdated: models.first().cloned(),
                        models,
                        takes_work: u.ratio(9, 10)?,
                    };
                    engines.insert(format!("agent-{number}"), engine);
                }
            }
            sets.balance(&work, &engines);
            let served = |model: &String| {
                let mut set = engines.iter();
                set.any(|(agent, engine)| engine.takes_work && sets.model_of(agent) == Some(model))
            };
            let models: Vec<&String> = work.keys().collect();
            let known: Vec<&SetEngine> = engines.values().collect();
            if can_serve_all(&models, &known) {
                assert!(
                    models.iter().all(|model| served(model)),
                    "{work:?} {engines:?} {sets:?}"
                );
            }
            for (agent, engine) in &engines {
                let model = sets.model_of(agent);
                assert!(model.is_none_or(|model| engine.models.contains(model)));
            }
            let before = format!("{sets:?}");
            sets.balance(&work, &engines);
            assert_eq!(before, format!("{sets:?}"));
        }
        Ok(())
    })
    .budget_ms(1000);
}
