//! Services of the routes of batch jobs: items run only at engines to which their route leads.

mod batch_support;

use batch_support::{MODEL, POLICY, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;
use oleanderlock::routing::route_target::RouteTarget;

fn policy(targets: &[(&str, u32)]) -> JobPolicy {
    let targets = targets.iter().map(|(service, weight)| RouteTarget {
        service: (*service).to_owned(),
        weight: *weight,
    });
    JobPolicy {
        targets: targets.collect(),
        ..POLICY.clone()
    }
}

fn job(id: &str, items: usize) -> Job {
    Job {
        id: id.to_owned(),
        ..step(items, 1, |_| None)
    }
}

fn report(agent: &str, service: &str, slots: usize) -> AgentReport {
    AgentReport {
        agent: agent.to_owned(),
        service: Some(service.to_owned()),
        slots,
        event_us: 30_000,
        weights: IndexMap::from([(MODEL.to_owned(), 1)]),
        ..AgentReport::default()
    }
}

/// Returns a scheduler that knows one engine of each of the services `a` and `b`.
fn scheduler(slots: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    for service in ["a", "b"] {
        scheduler.apply_report(
            Millis(0),
            report(&format!("agent-{service}"), service, slots),
        );
    }
    scheduler
}

/// Assigns items and returns how many each agent got, agent-a first.
fn assigned(scheduler: &mut Scheduler, now: u64) -> (usize, usize) {
    let all = scheduler.assign(Millis(now));
    let to_a = all.iter().filter(|one| one.agent == "agent-a").count();
    (to_a, all.len() - to_a)
}

// Guards against items at engines of a service to which their route never leads.
#[test]
fn items_run_only_at_the_service_of_their_route() {
    let mut scheduler = scheduler(4);
    scheduler.accept(job("a", 3), policy(&[("a", 1)]), Millis(0));
    assert_eq!(assigned(&mut scheduler, 0), (3, 0));
    scheduler.accept(job("b", 12), policy(&[("b", 1)]), Millis(0));
    assert_eq!(assigned(&mut scheduler, 0), (0, 6));
}

// Guards against items that run anywhere while the route of their job is not known.
#[test]
fn items_wait_until_their_route_is_known() {
    let mut scheduler = scheduler(4);
    scheduler.accept(job("j", 3), policy(&[]), Millis(0));
    assert_eq!(assigned(&mut scheduler, 0), (0, 0));
    scheduler.set_policy("j", policy(&[("b", 1)]));
    assert_eq!(assigned(&mut scheduler, 0), (0, 3));
}

// Guards against items that go on to the old service after their route has moved.
#[test]
fn waiting_items_follow_a_route_that_moves() {
    let mut scheduler = scheduler(2);
    scheduler.accept(job("j", 6), policy(&[("a", 1)]), Millis(0));
    assert_eq!(assigned(&mut scheduler, 0), (4, 0));
    scheduler.set_policy("j", policy(&[("b", 1)]));
    assert_eq!(assigned(&mut scheduler, 0), (0, 2));
    let names: Vec<String> = (0..4).map(|n| format!("j/{n}")).collect();
    scheduler.apply_report(
        Millis(10),
        AgentReport {
            items: names.clone(),
            waiting: names[2..].to_vec(),
            ..report("agent-a", "a", 2)
        },
    );
    let recalls = scheduler.recalls(Millis(10));
    let recalls: Vec<(&str, RecallReason)> = recalls
        .iter()
        .map(|recall| (recall.key.item.as_str(), recall.reason))
        .collect();
    let moved = RecallReason::OtherService;
    assert_eq!(recalls, [("2", moved), ("3", moved)]);
    let key = ItemKey {
        job: "j".to_owned(),
        item: "2".to_owned(),
    };
    scheduler.return_item("agent-a", &key, None);
    assert_eq!(assigned(&mut scheduler, 20), (0, 1));
}

// Guards against a split route whose small share runs everywhere, and against items that wait for a
// service without engines.
#[test]
fn a_split_route_keeps_its_shares_while_both_services_have_engines() {
    let mut scheduler = scheduler(600);
    scheduler.accept(job("j", 400), policy(&[("a", 9), ("b", 1)]), Millis(0));
    let (to_a, to_b) = assigned(&mut scheduler, 0);
    assert_eq!(to_a + to_b, 400);
    // A tenth is 40; 15 is four standard deviations below it.
    assert!((15..=65).contains(&to_b), "{to_b} items");
    let leaving = AgentReport {
        leaving: true,
        ..report("agent-b", "b", 600)
    };
    scheduler.apply_report(Millis(1), leaving);
    scheduler.accept(job("k", 100), policy(&[("a", 0), ("b", 1)]), Millis(1));
    assert_eq!(
        assigned(&mut scheduler, 1),
        (0, 0),
        "a target without weight"
    );
    scheduler.accept(job("l", 50), policy(&[("a", 1), ("b", 1)]), Millis(1));
    assert_eq!(
        assigned(&mut scheduler, 1),
        (50, 0),
        "no engine of the other service"
    );
}

// Guards against loads that wait for jobs of another service with the same model.
#[test]
fn jobs_of_another_service_do_not_hold_up_a_load() {
    let mut scheduler = scheduler(2);
    scheduler.accept(job("a", 20), policy(&[("a", 1)]), Millis(0));
    scheduler.accept(job("b", 1), policy(&[("b", 1)]), Millis(0));
    let (to_a, to_b) = assigned(&mut scheduler, 0);
    assert_eq!((to_a, to_b), (4, 1));
    scheduler.set_target_version(MODEL, 2);
    let grants = scheduler.plan_loads(Millis(0));
    let agents: Vec<&str> = grants.iter().map(|grant| grant.agent.as_str()).collect();
    assert_eq!(agents, ["agent-b"]);
}

// Guards against items that stay at an engine, or are sent to one, after their route was removed (review/15).
#[test]
fn items_of_a_removed_route_are_recalled_and_not_assigned() {
    let mut scheduler = scheduler(2);
    scheduler.accept(job("j", 6), policy(&[("a", 1)]), Millis(0));
    assert_eq!(assigned(&mut scheduler, 0), (4, 0));
    scheduler.remove_route("j", Millis(10));
    let names: Vec<String> = (0..4).map(|n| format!("j/{n}")).collect();
    let held = AgentReport {
        items: names.clone(),
        waiting: names[2..].to_vec(),
        ..report("agent-a", "a", 2)
    };
    scheduler.apply_report(Millis(20), held);
    let recalled = scheduler.recalls(Millis(20));
    let recalled: Vec<&str> = recalled
        .iter()
        .map(|recall| recall.key.item.as_str())
        .collect();
    assert_eq!(recalled, ["2", "3"]);
    assert_eq!(assigned(&mut scheduler, 30), (0, 0));
    let idle = |scheduler: &Scheduler| scheduler.job("j").map(|job| job.idle(Millis(30)).len());
    assert_eq!(idle(&scheduler), Some(2));
    // The route comes back.
    scheduler.set_policy("j", policy(&[("b", 1)]));
    assert_eq!(assigned(&mut scheduler, 40), (0, 2));
    let job = scheduler.job("j");
    assert!(job.is_some_and(|job| job.route_gone_since.is_none()));
}
