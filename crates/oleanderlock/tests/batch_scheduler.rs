//! Which items go where: the scheduler of batch jobs under slow, lost, restarted and loading engines.

use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::assignment::Assignment;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::model_sets::ModelSets;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::recall::Recall;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;

const MODEL: &str = "advisor";
const POLICY: JobPolicy = JobPolicy {
    attempts: 3,
    due_after: Millis(7500),
    keep: Millis(40_000),
    single_version: false,
};

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
    let mut agents: Vec<&str> = assigned.iter().map(|one| one.agent.as_str()).collect();
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
fn items_spread_over_engines_of_the_same_pace() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    scheduler.accept(job("j", 1, group("g", 8)), POLICY, Millis(0));
    let assigned = scheduler.assign(Millis(0));
    let to_a = assigned.iter().filter(|one| one.agent == "a").count();
    assert_eq!((assigned.len(), to_a), (8, 4));
}

#[test]
fn an_agent_has_few_items_beyond_its_slots() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 30)), POLICY, Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 10);
    assert_eq!(scheduler.assign(Millis(0)), []);
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
}

#[test]
fn the_job_that_is_due_first_comes_first() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 1, 1));
    scheduler.accept(job("late", 1, group("g", 2)), POLICY, Millis(500));
    scheduler.accept(job("early", 1, group("h", 2)), POLICY, Millis(100));
    let assigned = scheduler.assign(Millis(600));
    let jobs: Vec<&str> = assigned.iter().map(|one| one.key.job.as_str()).collect();
    assert_eq!(jobs, ["early", "early"]);
}

#[test]
fn the_longest_items_begin_first() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    let lengths = [("short", 100), ("long", 4000), ("middle", 900)];
    let items = lengths.map(|(id, tokens)| item(id, "g", Some(tokens)));
    scheduler.accept(job("j", 1, items.to_vec()), POLICY, Millis(0));
    let assigned = scheduler.assign(Millis(0));
    let order: Vec<&str> = assigned.iter().map(|one| one.key.item.as_str()).collect();
    assert_eq!(order, ["long", "middle", "short"]);
}

#[test]
fn a_slow_engine_gets_no_group_while_a_fast_one_has_room() {
    let mut scheduler = scheduler();
    scheduler.apply_report(
        Millis(0),
        with_event_interval(135_000, report("a-slow", 8, 1)),
    );
    scheduler.apply_report(
        Millis(0),
        with_event_interval(36_000, report("b-fast", 8, 1)),
    );
    scheduler.accept(job("j", 1, group("g", 4)), POLICY, Millis(0));
    scheduler.accept(job("k", 1, group("h", 4)), POLICY, Millis(0));
    assert_eq!(agents_of(&scheduler.assign(Millis(0))), ["b-fast"]);
}

#[test]
fn runs_move_from_a_slow_engine_and_go_on_where_they_were() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("slow", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
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
    };
    scheduler.return_item("slow", &key("j", "g-0"), Some(progress.clone()));
    let assigned = scheduler.assign(Millis(1100));
    assert_eq!(agents_of(&assigned), ["fast"]);
    assert_eq!(assigned[0].progress, Some(progress));
}

#[test]
fn what_older_weights_made_is_not_kept() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 3));
    scheduler.accept(job("j", 3, group("g", 1)), POLICY, Millis(0));
    scheduler.assign(Millis(0));
    let progress = Progress {
        last_event: 7,
        text: "text".to_owned(),
        versions: vec![2, 3],
    };
    scheduler.return_item("a", &key("j", "g-0"), Some(progress));
    assert_eq!(scheduler.assign(Millis(1))[0].progress, None);
}

#[test]
fn an_engine_with_weights_that_are_too_old_gets_nothing() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 2, group("g", 1)), POLICY, Millis(0));
    assert_eq!(scheduler.assign(Millis(0)), []);
}

#[test]
fn an_assignment_that_got_lost_is_made_again() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
    let early = scheduler.apply_report(Millis(500), report("a", 8, 1));
    assert_eq!(early.returned, []);
    let late = scheduler.apply_report(Millis(900), report("a", 8, 1));
    assert_eq!(late.returned, [key("j", "g-0")]);
    assert_eq!(scheduler.assign(Millis(900)).len(), 1);
}

#[test]
fn the_items_of_a_silent_agent_go_to_others() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
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
fn a_returning_agent_drops_what_another_one_has() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.remove_silent_agents(Millis(3000));
    scheduler.apply_report(Millis(3000), report("b", 8, 1));
    scheduler.assign(Millis(3000));
    let outcome = scheduler.apply_report(Millis(3100), with_items(&["j/g-0"], report("a", 8, 1)));
    assert_eq!(outcome.drop, ["j/g-0"]);
}

#[test]
fn a_new_leader_learns_from_agents_what_runs() {
    let mut scheduler = scheduler();
    scheduler.accept(job("j", 1, group("g", 2)), POLICY, Millis(0));
    let outcome = scheduler.apply_report(
        Millis(0),
        with_items(&["j/g-0", "j/g-1"], report("a", 8, 1)),
    );
    assert_eq!(outcome.drop, Vec::<String>::new());
    assert_eq!(scheduler.assign(Millis(0)), []);
}

#[test]
fn ending_a_job_names_what_still_runs() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 2)), POLICY, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.end("j"), [("a".to_owned(), key("j", "g-1"))]);
    assert_eq!(scheduler.assign(Millis(1)), []);
}

#[test]
fn an_engine_loads_between_steps() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 2);
    // The step that runs allows the weights that are there.
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
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 3);
    scheduler.accept(job("k", 2, group("h", 1)), POLICY, Millis(0));
    assert_eq!(scheduler.plan_loads(Millis(10)).len(), 1);
}

#[test]
fn few_engines_load_at_once() {
    let mut scheduler = scheduler();
    for agent in ["a", "b", "c", "d"] {
        scheduler.apply_report(Millis(0), report(agent, 8, 1));
    }
    end_a_step(&mut scheduler, 1);
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(0)).len(), 2);
    assert_eq!(scheduler.plan_loads(Millis(100)), []);
}

/// A step on the weights `oldest` and newer that was asked and has ended.
fn end_a_step(scheduler: &mut Scheduler, oldest: u64) {
    scheduler.accept(job("before", oldest, group("b", 1)), POLICY, Millis(0));
    scheduler.end("before");
}

#[test]
fn a_load_counts_until_its_agent_says_that_it_ended() {
    let mut scheduler = scheduler();
    for agent in ["a", "b", "c"] {
        scheduler.apply_report(Millis(0), report(agent, 8, 1));
    }
    end_a_step(&mut scheduler, 1);
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
fn an_engine_that_the_announced_step_may_use_does_not_load_before_it() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 2));
    end_a_step(&mut scheduler, 1);
    // The step that follows version 3 allows version 2.
    scheduler.set_target_version(MODEL, 3);
    assert_eq!(scheduler.plan_loads(Millis(0)), []);
    scheduler.accept(job("j", 2, group("g", 1)), POLICY, Millis(30));
    assert_eq!(scheduler.assign(Millis(30)).len(), 1);
    scheduler.finish(&key("j", "g-0"));
    assert_eq!(scheduler.plan_loads(Millis(600)).len(), 1);
}

#[test]
fn the_last_runs_of_an_engine_move_so_that_it_can_load() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    scheduler.accept(job("j", 1, group("g", 3)), POLICY, Millis(0));
    assert_eq!(scheduler.assign(Millis(0)).len(), 3);
    scheduler.set_target_version(MODEL, 2);
    // Runs that have just begun may end soon.
    assert_eq!(scheduler.plan_loads(Millis(500)), []);
    assert_eq!(scheduler.recalls(Millis(500)), []);
    assert_eq!(scheduler.plan_loads(Millis(700)), []);
    let recalls = scheduler.recalls(Millis(700));
    assert_eq!(recalls.len(), 1);
    let Recall {
        agent: emptied,
        key: moved,
        reason,
    } = recalls[0].clone();
    assert_eq!(reason, RecallReason::Load);
    let made = Progress {
        text: "x".to_owned(),
        versions: vec![1],
        last_event: 20,
    };
    scheduler.return_item(&emptied, &moved, Some(made.clone()));
    let grants = scheduler.plan_loads(Millis(750));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].agent, emptied);
    let assigned = scheduler.assign(Millis(750));
    assert_eq!(assigned.len(), 1);
    assert_ne!(assigned[0].agent, emptied);
    assert_eq!(assigned[0].progress, Some(made));
}

/// A scheduler whose agent `full` has a slot and two items, one of which waits.
fn scheduler_with_waiting() -> Scheduler {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("full", 1, 1));
    scheduler.accept(job("j", 1, group("g", 2)), POLICY, Millis(0));
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
fn an_item_that_waits_for_a_slot_moves_to_an_engine_that_has_one() {
    let mut scheduler = scheduler_with_waiting();
    scheduler.apply_report(Millis(100), report("free", 1, 1));
    scheduler.plan_loads(Millis(100));
    // Its engine may be about to begin it.
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
fn a_free_slot_calls_back_one_item() {
    let mut scheduler = scheduler_with_waiting();
    let mut other = with_items(&["k/h-0", "k/h-1"], report("full-too", 1, 1));
    other.waiting = vec!["k/h-1".to_owned()];
    scheduler.accept(job("k", 1, group("h", 2)), POLICY, Millis(0));
    scheduler.apply_report(Millis(0), with_event_interval(36_000, other));
    scheduler.apply_report(Millis(100), report("free", 1, 1));
    scheduler.plan_loads(Millis(100));
    assert_eq!(scheduler.recalls(Millis(300)).len(), 1);
}

#[test]
fn an_item_waits_where_it_is_if_no_other_engine_can_begin_it() {
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
fn runs_that_need_one_version_stay_where_they_are() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), report("b", 8, 1));
    let policy = JobPolicy {
        single_version: true,
        ..POLICY
    };
    scheduler.accept(job("j", 1, group("g", 3)), policy, Millis(0));
    scheduler.assign(Millis(0));
    scheduler.set_target_version(MODEL, 2);
    assert_eq!(scheduler.plan_loads(Millis(700)), []);
    assert_eq!(scheduler.recalls(Millis(700)), []);
}

#[test]
fn runs_stay_where_no_other_engine_has_room() {
    let mut scheduler = scheduler();
    scheduler.apply_report(Millis(0), report("a", 8, 1));
    scheduler.apply_report(Millis(0), with_event_interval(200_000, report("b", 8, 1)));
    scheduler.accept(job("j", 1, group("g", 1)), POLICY, Millis(0));
    assert_eq!(scheduler.assign(Millis(0))[0].agent, "a");
    scheduler.set_target_version(MODEL, 2);
    // The other one is slow, and loads now since it is idle.
    assert_eq!(scheduler.plan_loads(Millis(700))[0].agent, "b");
    assert_eq!(scheduler.recalls(Millis(700)), []);
}

#[test]
fn models_share_the_engines_by_their_work() {
    let mut sets = ModelSets::default();
    let agents: IndexMap<String, Option<String>> =
        (0..9).map(|n| (format!("agent-{n}"), None)).collect();
    let work =
        |m, n, o| IndexMap::from([("m", m), ("n", n), ("o", o)].map(|(k, v)| (k.to_owned(), v)));
    let counts = |sets: &ModelSets| {
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
    // Small changes move nothing.
    sets.balance(&work(750, 1300, 1300), &agents);
    assert_eq!(counts(&sets), [2, 3, 4]);
    // A model with hardly any work keeps one engine.
    sets.balance(&work(1, 1000, 1000), &agents);
    assert_eq!(counts(&sets)[0], 1);
}

#[test]
fn models_share_the_engines_evenly() {
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
        scheduler.accept(before, POLICY, Millis(0));
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
