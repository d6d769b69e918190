//! Rules of the batch scheduler with slow, lost, restarted and loading engines.

use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::assignment::Assignment;
use oleanderlock::batch::engine_sets::EngineSets;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::recall::Recall;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::batch::set_engine::SetEngine;
use oleanderlock::prelude::*;
use oleanderlock::routing::route_target::RouteTarget;
use std::sync::LazyLock;

const MODEL: &str = "advisor";
const SERVICE: &str = "llm";
static POLICY: LazyLock<JobPolicy> = LazyLock::new(|| JobPolicy {
    targets: vec![RouteTarget {
        service: SERVICE.to_owned(),
        weight: 1,
    }],
    attempts: 3,
    due_after: Millis(7500),
    keep: Millis(40_000),
    single_version: false,
    rank: 0,
    workspace_rank: None,
});

fn item(id: &str, group: &str, expected_tokens: Option<u64>) -> JobItem {
    JobItem {
        id: id.to_owned(),
        path: "/rollout/x".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 1000,
        expected_tokens,
        group: group.to_owned(),
        score_call: None,
    }
}

fn job(id: &str, oldest_version: u64, items: Vec<JobItem>) -> Job {
    Job {
        id: id.to_owned(),
        host: "host".to_owned(),
        path: "/rollout/".to_owned(),
        submitted_unix_ms: 0,
        step: Some(1),
        model: MODEL.to_owned(),
        oldest_version,
        groups_wanted: 1,
        items,
        workspace: None,
    }
}

fn group(name: &str, size: usize) -> Vec<JobItem> {
    let ids = (0..size).map(|number| format!("{name}-{number}"));
    ids.map(|id| item(&id, name, None)).collect()
}

fn report(agent: &str, slots: usize, version: u64) -> AgentReport {
    AgentReport {
        agent: agent.to_owned(),
        instance: format!("instance-of-{agent}"),
        slots,
        weights: IndexMap::from([(MODEL.to_owned(), version)]),
        service: Some(SERVICE.to_owned()),
        ..AgentReport::default()
    }
}

fn with_event_interval(event_us: u64, mut report: AgentReport) -> AgentReport {
    report.event_us = event_us;
    report
}

fn with_items(names: &[&str], mut report: AgentReport) -> AgentReport {
    report.items = names.iter().map(|&name| name.to_owned()).collect();
    report
}

fn scheduler() -> Scheduler {
    Scheduler::new(SchedulerConfig::default())
}

fn agents_of(assigned: &[Assignment]) -> Vec<&str> {
    let mut agents: Vec<&str> = assigned
        .iter()
        .map(|assignment| assignment.agent.as_str())
        .collect();
    agents.dedup();
    agents
}

fn key(job: &str, item: &str) -> ItemKey {
    ItemKey {
        job: job.to_owned(),
        item: item.to_owned(),
    }
}

#[test]
fn items_spread_over_engines_of_the_same_speed() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    scheduler.accept(job("j", 1, group("g", 8)), POLICY.clone(), Millis(0));
    let assigned = scheduler.assign(Millis(0));
    let to_a = assigned
        .iter()
        .filter(|assignment| assignment.agent == "a")
        .count();
    assert_eq!((assigned.len(), to_a), (8, 4));
}

#[test]
fn an_agent_has_few_items_beyond_its_slots() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 30)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 10);
    assert_eq!(scheduler.assign(Millis(0)), []);
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
}

/// Guards against an urgent job that waits behind others which are due at the same time, and
/// against a priority that goes before the due time.
#[test]
fn among_jobs_that_are_due_together_the_most_urgent_is_served_first() {
    let ranked = |rank| JobPolicy {
        rank,
        ..POLICY.clone()
    };
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    let jobs = [
        ("late", 0, 501),
        ("mild", 5, 500),
        ("urgent", 1, 500),
        ("calm", 9, 499),
    ];
    for (id, rank, submitted) in jobs {
        scheduler.accept(job(id, 1, group(id, 1)), ranked(rank), Millis(submitted));
    }
    let assigned = scheduler.assign(Millis(600));
    let order = assigned
        .iter()
        .map(|assignment| assignment.key.job.as_str());
    let order: Vec<_> = order.collect();
    assert_eq!(order, ["calm", "urgent", "mild", "late"]);
}

#[test]
fn the_job_that_is_due_first_is_served_first() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 1, 1));
    scheduler.accept(job("late", 1, group("g", 2)), POLICY.clone(), Millis(500));
    scheduler.accept(job("early", 1, group("h", 2)), POLICY.clone(), Millis(100));
    let assigned = scheduler.assign(Millis(600));
    let jobs: Vec<&str> = assigned
        .iter()
        .map(|assignment| assignment.key.job.as_str())
        .collect();
    assert_eq!(jobs, ["early", "early"]);
}

#[test]
fn the_longest_items_start_first() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    let lengths = [("short", 100), ("long", 4000), ("middle", 900)];
    let items = lengths.map(|(id, tokens)| item(id, "g", Some(tokens)));
    scheduler.accept(job("j", 1, items.to_vec()), POLICY.clone(), Millis(0));
    let assigned = scheduler.assign(Millis(0));
    let order: Vec<&str> = assigned
        .iter()
        .map(|assignment| assignment.key.item.as_str())
        .collect();
    assert_eq!(order, ["long", "middle", "short"]);
}

#[test]
fn a_slow_engine_gets_no_items_while_a_fast_one_has_capacity() {
    let mut scheduler = scheduler();
    scheduler.apply_report(
        Millis(0),
        with_event_interval(135_000, report("a-slow", 8, 1)),
    );
    scheduler.apply_report(
        Millis(0),
        with_event_interval(36_000, report("b-fast", 8, 1)),
    );
    scheduler.accept(job("j", 1, group("g", 4)), POLICY.clone(), Millis(0));
    scheduler.accept(job("k", 1, group("h", 4)), POLICY.clone(), Millis(0));
    assert_eq!(agents_of(&scheduler.assign(Millis(0))), ["b-fast"]);
}

#[test]
fn runs_are_recalled_from_a_slow_engine_and_resume() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("slow", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
    let slow = with_items(&["j/g-0"], report("slow", 8, 1));
    scheduler.apply_report(Millis(1000), with_event_interval(135_000, slow));
    assert_eq!(scheduler.recalls(Millis(1000)), []);
    scheduler.apply_report(
        Millis(1000),
        with_event_interval(36_000, report("fast", 8, 1)),
    );
    let recalled = scheduler.recalls(Millis(1000));
    let expected = Recall {
        agent: "slow".to_owned(),
        key: key("j", "g-0"),
        reason: RecallReason::SlowEngine,
    };
    assert_eq!(recalled, [expected]);
    let progress = Progress {
        last_event: 7,
        text: "text".to_owned(),
        versions: vec![1],
        software: None,
    };
    scheduler.return_item("slow", &key("j", "g-0"), Some(progress.clone()));
    let assigned = scheduler.assign(Millis(1100));
    assert_eq!(agents_of(&assigned), ["fast"]);
    assert_eq!(assigned[0].progress, Some(progress));
}

#[test]
fn progress_of_outdated_weights_is_discarded() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 3));
    scheduler.accept(job("j", 3, group("g", 1)), POLICY.clone(), Millis(0));
    scheduler.assign(Millis(0));
    let progress = Progress {
        last_event: 7,
        text: "text".to_owned(),
        versions: vec![2, 3],
        software: None,
    };
    scheduler.return_item("a", &key("j", "g-0"), Some(progress));
    assert_eq!(scheduler.assign(Millis(1))[0].progress, None);
}

#[test]
fn an_engine_with_outdated_weights_gets_no_items() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 2, group("g", 1)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0)), []);
}

#[test]
fn a_lost_assignment_is_repeated() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
    let early = scheduler.apply_report(Millis(500), report("a", 8, 1));
    assert_eq!(early.returned, []);
    let late = scheduler.apply_report(Millis(900), report("a", 8, 1));
    assert_eq!(late.returned, [key("j", "g-0")]);
    assert_eq!(scheduler.assign(Millis(900)).len(), 1);
}

#[test]
fn the_items_of_a_silent_agent_are_reassigned() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    scheduler.assign(Millis(0));
    assert_eq!(
        scheduler.remove_silent_agents(Millis(2500)),
        Vec::<String>::new()
    );
    scheduler.apply_report(Millis(2000), report("b", 8, 1));
    assert_eq!(scheduler.remove_silent_agents(Millis(2600)), ["a"]);
    assert_eq!(agents_of(&scheduler.assign(Millis(2600))), ["b"]);
}

#[test]
fn a_returning_agent_drops_items_that_were_reassigned() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    scheduler.assign(Millis(0));
    scheduler.remove_silent_agents(Millis(3000));
    scheduler.apply_report(Millis(3000), report("b", 8, 1));
    scheduler.assign(Millis(3000));
    let outcome = scheduler.apply_report(Millis(3100), with_items(&["j/g-0"], report("a", 8, 1)));
    assert_eq!(outcome.drop, ["j/g-0"]);
}

#[test]
fn a_new_leader_adopts_the_running_items_in_reports() {
    let mut scheduler = scheduler();
    scheduler.accept(job("j", 1, group("g", 2)), POLICY.clone(), Millis(0));
    let outcome = scheduler.apply_report(
        Millis(0),
        with_items(&["j/g-0", "j/g-1"], report("a", 8, 1)),
    );
    assert_eq!(outcome.drop, Vec::<String>::new());
    assert_eq!(scheduler.assign(Millis(0)), []);
}

#[test]
fn ending_a_job_returns_its_running_items() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 2)), POLICY.clone(), Millis(0));
    scheduler.assign(Millis(0));
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.end("j"), [("a".to_owned(), key("j", "g-1"))]);
    assert_eq!(scheduler.assign(Millis(1)), []);
}

#[test]
fn an_engine_loads_between_steps_that_need_a_single_version() {
    let mut scheduler = scheduler();
    let policy = JobPolicy {
        single_version: true,
        ..POLICY.clone()
    };
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), policy, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 2);
    // The open step accepts the loaded version, and its run may not change it.
    assert_eq!(scheduler.plan_loads(Millis(10)), []);
    scheduler.end("j");
    let grants = scheduler.plan_loads(Millis(20));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].version, 2);
}

#[test]
fn an_engine_loads_at_once_when_a_step_needs_it() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 3);
    scheduler.accept(job("k", 2, group("h", 1)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.plan_loads(Millis(10)).len(), 1);
}

#[test]
fn concurrent_loads_are_limited() {
    let mut scheduler = scheduler();
    for agent in ["a", "b", "c", "d"] {
        scheduler.apply_report(Millis(0), report(agent, 8, 1));
    }
    submit_and_end_step(&mut scheduler, 1);
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(0)).len(), 2);
    assert_eq!(scheduler.plan_loads(Millis(100)), []);
}

/// Submits a step that needs version `oldest` or newer, and ends it.
fn submit_and_end_step(scheduler: &mut Scheduler, oldest: u64) {
    scheduler.accept(
        job("before", oldest, group("b", 1)),
        POLICY.clone(),
        Millis(0),
    );
    scheduler.end("before");
}

#[test]
fn a_load_counts_until_its_agent_reports_its_end() {
    let mut scheduler = scheduler();
    for agent in ["a", "b", "c"] {
        scheduler.apply_report(Millis(0), report(agent, 8, 1));
    }
    submit_and_end_step(&mut scheduler, 1);
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(0)).len(), 2);
    let loading = |agent| AgentReport {
        loading: Some(MODEL.to_owned()),
        ..report(agent, 8, 1)
    };
    scheduler.apply_report(Millis(50), loading("a"));
    scheduler.apply_report(Millis(50), loading("b"));
    assert_eq!(scheduler.plan_loads(Millis(900)), []);
    scheduler.apply_report(Millis(950), report("a", 8, 2));
    let grants = scheduler.plan_loads(Millis(950));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].agent, "c");
}

#[test]
fn an_engine_does_not_load_before_an_announced_step_that_accepts_its_weights() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 2));
    submit_and_end_step(&mut scheduler, 1);
    // The step that is announced with version 3 also accepts version 2.
    scheduler.set_target_version(MODEL, 3);
    assert_eq!(scheduler.plan_loads(Millis(0)), []);
    scheduler.accept(job("j", 2, group("g", 1)), POLICY.clone(), Millis(30));
    assert_eq!(scheduler.assign(Millis(30)).len(), 1);
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.plan_loads(Millis(600)).len(), 1);
}

#[test]
fn an_engine_loads_under_its_runs_once_all_items_have_started() {
    let mut scheduler = scheduler();
    let mut of_a = report("a", 2, 1);
    scheduler.apply_report(Millis(0), of_a.clone());
    scheduler.apply_report(Millis(0), report("b", 2, 1));
    // The engine sets need the agents.
    assert_eq!(scheduler.plan_loads(Millis(0)), []);
    // Two slots and two prefetched items for each engine, and one item more.
    scheduler.accept(job("j", 1, group("g", 9)), POLICY.clone(), Millis(0));
    let assigned = scheduler.assign(Millis(0));
    assert_eq!(assigned.len(), 8);
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(100)), []);
    let at_b: Vec<&Assignment> = assigned.iter().filter(|one| one.agent == "b").collect();
    scheduler.finish(&at_b[0].key);
    assert_eq!(scheduler.assign(Millis(200)).len(), 1);
    // An agent with an item that waits for a slot does not load.
    let at_a = assigned.iter().filter(|one| one.agent == "a");
    of_a.items = at_a.map(|one| one.key.to_string()).collect();
    of_a.waiting = of_a.items[2..].to_vec();
    scheduler.apply_report(Millis(300), of_a);
    let grants = scheduler.plan_loads(Millis(300));
    let agents: Vec<&str> = grants.iter().map(|grant| grant.agent.as_str()).collect();
    assert_eq!(agents, ["b"]);
    // Its runs stay, and until the load has ended it gets no further ones.
    assert_eq!(scheduler.recalls(Millis(300)), []);
    for one in &at_b[1..] {
        scheduler.finish(&one.key);
    }
    scheduler.accept(job("k", 1, group("h", 1)), POLICY.clone(), Millis(310));
    assert_eq!(scheduler.assign(Millis(310)), []);
}

#[test]
fn an_engine_does_not_load_under_runs_that_need_a_single_version() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    let policy = JobPolicy {
        single_version: true,
        ..POLICY.clone()
    };
    scheduler.accept(job("j", 1, group("g", 1)), policy, Millis(0));
    let assigned = scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 2);
    let grants = scheduler.plan_loads(Millis(100));
    assert_eq!(grants.len(), 1);
    assert_ne!(grants[0].agent, assigned[0].agent);
    scheduler.finish(&assigned[0].key);
    let grants = scheduler.plan_loads(Millis(200));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].agent, assigned[0].agent);
}

#[test]
fn concurrent_loads_are_the_nearest_share_of_the_engines() {
    // Engines, and the loads at a time that a share of a fifth allows.
    for (engines, loads) in [
        (3, 2),
        (9, 2),
        (12, 2),
        (13, 3),
        (38, 8),
        (43, 9),
        (47, 9),
        (48, 10),
    ] {
        let mut scheduler = scheduler();
        for number in 0..engines {
            let name = format!("agent-{number:02}");
            scheduler.apply_report(Millis(0), report(&name, 8, 1));
        }
        scheduler.accept(job("j", 2, group("g", 1)), POLICY.clone(), Millis(0));
        scheduler.set_target_version(MODEL, 2);
        assert_eq!(
            scheduler.plan_loads(Millis(0)).len(),
            loads,
            "{engines} engines"
        );
        assert_eq!(scheduler.plan_loads(Millis(100)), []);
    }
}

/// A scheduler whose agent `full` has one slot and two items, so that one item waits.
fn scheduler_with_waiting() -> Scheduler {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("full", 1, 1));
    scheduler.accept(job("j", 1, group("g", 2)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 2);
    scheduler.apply_report(Millis(100), waiting_report());
    scheduler
}

fn waiting_report() -> AgentReport {
    let mut report = with_items(&["j/g-0", "j/g-1"], report("full", 1, 1));
    report.waiting = vec!["j/g-1".to_owned()];
    with_event_interval(36_000, report)
}

#[test]
fn a_waiting_item_moves_to_an_engine_with_a_free_slot() {
    let mut scheduler = scheduler_with_waiting();
    scheduler.apply_report(Millis(100), report("free", 1, 1));
    scheduler.plan_loads(Millis(100));
    // Too early: its own engine may be about to start it.
    assert_eq!(scheduler.recalls(Millis(100)), []);
    let recalled = scheduler.recalls(Millis(200));
    let expected = Recall {
        agent: "full".to_owned(),
        key: key("j", "g-1"),
        reason: RecallReason::NoSlot,
    };
    assert_eq!(recalled, [expected]);
    scheduler.return_item("full", &key("j", "g-1"), None);
    assert_eq!(agents_of(&scheduler.assign(Millis(200))), ["free"]);
}

#[test]
fn one_item_is_recalled_for_each_free_slot() {
    let mut scheduler = scheduler_with_waiting();
    let mut other = with_items(&["k/h-0", "k/h-1"], report("full-too", 1, 1));
    other.waiting = vec!["k/h-1".to_owned()];
    scheduler.accept(job("k", 1, group("h", 2)), POLICY.clone(), Millis(0));
    scheduler.apply_report(Millis(0), with_event_interval(36_000, other));
    scheduler.apply_report(Millis(100), report("free", 1, 1));
    scheduler.plan_loads(Millis(100));
    assert_eq!(scheduler.recalls(Millis(300)).len(), 1);
}

#[test]
fn a_waiting_item_is_not_recalled_if_no_other_engine_can_start_it() {
    let with = |other: AgentReport| {
        let mut scheduler = scheduler_with_waiting();
        scheduler.apply_report(Millis(100), other);
        scheduler.plan_loads(Millis(100));
        scheduler.recalls(Millis(300))
    };
    assert_eq!(with(report("too-old", 1, 0)), []);
    assert_eq!(with(with_event_interval(100_000, report("slow", 1, 1))), []);
    let loading = AgentReport {
        loading: Some(MODEL.to_owned()),
        ..report("loading", 1, 1)
    };
    assert_eq!(with(loading), []);
    let leaving = AgentReport {
        leaving: true,
        ..report("leaving", 1, 1)
    };
    assert_eq!(with(leaving), []);
}

#[test]
fn runs_that_need_a_single_version_are_not_moved() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    let policy = JobPolicy {
        single_version: true,
        ..POLICY.clone()
    };
    scheduler.accept(job("j", 1, group("g", 3)), policy, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(700)), []);
    assert_eq!(scheduler.recalls(Millis(700)), []);
}

#[test]
fn runs_are_not_moved_if_no_fast_engine_has_free_slots() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), with_event_interval(200_000, report("b", 8, 1)));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    assert_eq!(scheduler.assign(Millis(0))[0].agent, "a");
    scheduler.set_target_version(MODEL, 2);
    // The other engine is too slow to take the run, and loads now because it is idle.
    assert_eq!(scheduler.plan_loads(Millis(700))[0].agent, "b");
    assert_eq!(scheduler.recalls(Millis(700)), []);
}

#[test]
fn engines_are_divided_in_proportion_to_the_work_of_models() {
    let mut sets = EngineSets::default();
    let engine = SetEngine {
        models: ["m", "n", "o"].map(str::to_owned).into(),
        least_outdated: None,
        takes_work: true,
    };
    let agents: IndexMap<String, SetEngine> = (0..9)
        .map(|n| (format!("agent-{n}"), engine.clone()))
        .collect();
    let work =
        |m, n, o| IndexMap::from([("m", m), ("n", n), ("o", o)].map(|(k, v)| (k.to_owned(), v)));
    let counts = |sets: &EngineSets| {
        ["m", "n", "o"].map(|model| {
            let of_model = agents
                .keys()
                .filter(|agent| sets.model_of(agent) == Some(model));
            of_model.count()
        })
    };
    sets.balance(&work(1, 1, 1), &agents);
    assert_eq!(counts(&sets), [3, 3, 3]);
    sets.balance(&work(647, 1277, 1459), &agents);
    assert_eq!(counts(&sets), [2, 3, 4]);
    // Small changes of the work move no engine.
    sets.balance(&work(750, 1300, 1300), &agents);
    assert_eq!(counts(&sets), [2, 3, 4]);
    // A model with hardly any work keeps one engine.
    sets.balance(&work(1, 1000, 1000), &agents);
    assert_eq!(counts(&sets)[0], 1);
}

#[test]
fn models_with_equal_work_load_on_equally_many_engines() {
    let mut scheduler = scheduler();
    let weights: IndexMap<String, u64> = ["m", "n", "o"].map(|name| (name.to_owned(), 1)).into();
    for number in 0..9 {
        let report = AgentReport {
            weights: weights.clone(),
            ..report(&format!("agent-{number}"), 8, 1)
        };
        scheduler.apply_report(Millis(0), report);
    }
    for model in ["m", "n", "o"] {
        let before = Job {
            model: model.to_owned(),
            ..job(model, 1, group("g", 1))
        };
        scheduler.accept(before, POLICY.clone(), Millis(0));
        scheduler.end(model);
        scheduler.set_target_version(model, 2);
    }
    let mut loads: IndexMap<String, usize> = IndexMap::new();
    for step in 0..20 {
        for grant in scheduler.plan_loads(Millis(step * 2000)) {
            *loads.entry(grant.model.clone()).or_default() += 1;
            let mut weights = weights.clone();
            weights.insert(grant.model, grant.version);
            let report = AgentReport {
                weights,
                ..report(&grant.agent, 8, 1)
            };
            scheduler.apply_report(Millis(step * 2000), report);
        }
    }
    assert_eq!(loads.values().copied().collect::<Vec<_>>(), [3, 3, 3]);
}

#[test]
fn an_item_that_an_engine_could_not_finish_goes_to_another_one_even_if_that_is_busier() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("hangs", 8, 1));
    scheduler.apply_report(Millis(0), report("busy", 8, 1));
    scheduler.accept(job("j", 1, group("g", 12)), POLICY.clone(), Millis(0));
    let assigned = scheduler.assign(Millis(0));
    let at = |agent: &str| -> Vec<ItemKey> {
        let of_agent = assigned.iter().filter(|one| one.agent == agent);
        of_agent.map(|one| one.key.clone()).collect()
    };
    assert_eq!((at("hangs").len(), at("busy").len()), (6, 6));
    for key in at("hangs") {
        scheduler.return_item("hangs", &key, None);
    }
    let again = scheduler.assign(Millis(10));
    // The other engine takes as many as it has room for, the prefetched ones included.
    let elsewhere = again.iter().filter(|one| one.agent == "busy").count();
    assert_eq!((again.len(), elsewhere), (6, 4));
}

#[test]
fn a_return_that_arrives_again_changes_nothing() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    let item = key("j", "g-0");
    scheduler.apply_report(Millis(0), report("a", 1, 1));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
    assert!(scheduler.record_return("a", &item, 7));
    scheduler.return_item("a", &item, None);
    assert!(!scheduler.record_return("a", &item, 7));
    assert_eq!(scheduler.assign(Millis(1)).len(), 1);
    // The first copy of the message arrives after its repetition and the next assignment.
    assert!(!scheduler.record_return("a", &item, 7));
    assert!(scheduler.record_return("a", &item, 8));
    assert!(!scheduler.record_return("a", &key("unknown", "g-0"), 9));
}

// Guards against items that are errored before the last of their attempts: the return of a failed run
// that is sent again after many other returns of the item was taken for another failure.
#[test]
fn a_failed_run_counts_once_however_many_returns_come_before_its_repetition() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    let item = key("j", "g-0");
    assert!(scheduler.record_return("a", &item, 7));
    assert_eq!(scheduler.record_failure(&item, 7), 1);
    for id in 100..200 {
        assert!(scheduler.record_return("b", &item, id));
    }
    assert!(!scheduler.record_return("a", &item, 7));
    assert!(scheduler.record_return("b", &item, 8));
    assert_eq!(scheduler.record_failure(&item, 8), 2);
}

#[test]
fn a_return_without_an_id_counts_only_while_the_item_is_assigned_to_the_agent() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.accept(job("j", 1, group("g", 1)), POLICY.clone(), Millis(0));
    let item = key("j", "g-0");
    scheduler.apply_report(Millis(0), report("a", 1, 1));
    scheduler.assign(Millis(0));
    assert!(!scheduler.record_return("b", &item, 0));
    assert!(scheduler.record_return("a", &item, 0));
    scheduler.return_item("a", &item, None);
    assert!(!scheduler.record_return("a", &item, 0));
}
