//! Graceful restarts of all daemons under traffic cut nothing off.

mod support;

use oleander_load::order_client::{self, Order, OrderEnd, OrderKind, Told};
use oleander_standins::api::Api;
use oleanderlock::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use strum::VariantArray;
use support::{HANG, Quote, cfg, check_trainer, pause, start, start_trainer, trainer_cfg};

/// Callers of each kind; each has one order in flight.
const CALLERS: u64 = 8;
/// Callers whose completions take longer than a server waits for its connections to close.
const LONG_CALLERS: u64 = 4;
/// Tokens of a long completion, at a millisecond each.
const LONG_TOKENS: u64 = 2600;
/// Length of a plain call, so that some are in flight at each restart.
const SERVICE_MS: u64 = 150;

/// Sends orders one after another until told to stop.
async fn call(entries: Vec<SocketAddr>, caller: u64, stop: Arc<AtomicBool>) -> Vec<OrderEnd> {
    let is_long = caller >= CALLERS;
    let mut ends = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let number = caller * 1_000_000 + ends.len() as u64;
        let kind = OrderKind::VARIANTS[ends.len() % OrderKind::VARIANTS.len()];
        let order = Order {
            number,
            kind: if is_long { OrderKind::Advice } else { kind },
            tokens: if is_long { LONG_TOKENS } else { 60 },
        };
        let first = ends.len() % entries.len();
        ends.push(order_client::send(&entries, first, Instant::now(), order).await);
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    ends
}

#[test]
fn rolling_restarts_of_all_entries_and_agents_cut_nothing_off() {
    smol::block_on(async {
        let mut deployment_cfg = cfg(3, 3);
        deployment_cfg.services[0].switches.service_ms = SERVICE_MS;
        let mut deployment = start(deployment_cfg).await;
        let entries = deployment.entry_addresses();
        let trainer_cfg = trainer_cfg(&entries);
        let trainer = start_trainer(trainer_cfg.clone());
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS + LONG_CALLERS)
            .map(|caller| smol::spawn(call(entries.clone(), caller, stop.clone())))
            .collect();
        for entry in 0..deployment.entries.len() {
            deployment.entries[entry].stop().await.expect("stopped");
            deployment.entries[entry].start().expect("started");
            deployment
                .wait_ready(Instant::now() + HANG)
                .await
                .expect("ready");
        }
        for endpoint in 0..deployment.endpoints.len() {
            deployment.endpoints[endpoint]
                .agent
                .stop()
                .await
                .expect("stopped");
            deployment.endpoints[endpoint]
                .agent
                .start()
                .expect("started");
            deployment
                .wait_ready(Instant::now() + HANG)
                .await
                .expect("ready");
        }
        stop.store(true, Ordering::Release);
        let mut failures = Vec::new();
        let mut sent = 0;
        for caller in callers {
            let ends = caller.await;
            sent += ends.len();
            let failed = |end: &OrderEnd| end.told != Told::Whole || end.broken > 0;
            failures.extend(ends.into_iter().filter(failed));
        }
        assert!(sent > 100, "orders sent: {sent}");
        assert_eq!(failures, Vec::new(), "of {sent} orders");
        check_trainer(&trainer, &trainer_cfg).await;
    });
}

/// Time between two looks of a balancer at each entry; less than the lame duck time.
const BALANCER_LOOK_MS: u64 = 300;
/// Callers behind the balancer.
const BALANCED_CALLERS: u64 = 4;

/// An entry as a balancer sees it.
struct Backend {
    address: SocketAddr,
    is_ready: AtomicBool,
}

/// Looks at the entries from time to time, until told to stop.
async fn watch_readiness(backends: Arc<Vec<Backend>>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        for backend in backends.iter() {
            let reply = Api::new(backend.address).get("/readyz").await;
            let is_ready = reply.is_ok_and(|reply| reply.status == 200);
            backend.is_ready.store(is_ready, Ordering::Release);
        }
        pause(BALANCER_LOOK_MS).await;
    }
}

/// Sends quotes to the entries that the balancer takes for ready, until told to stop.
async fn call_balanced(
    backends: Arc<Vec<Backend>>,
    caller: u64,
    stop: Arc<AtomicBool>,
) -> Vec<support::Told> {
    let mut ends = Vec::new();
    while !stop.load(Ordering::Acquire) {
        pause(10).await;
        let ready = |backend: &&Backend| backend.is_ready.load(Ordering::Acquire);
        let ready: Vec<&Backend> = backends.iter().filter(ready).collect();
        let at = ends.len().checked_rem(ready.len());
        let Some(backend) = at.map(|at| ready[at]) else {
            continue;
        };
        let order = caller * 1_000_000 + ends.len() as u64;
        ends.push(Quote::new(order).send(backend.address).await);
    }
    ends
}

/// A stopping entry answers, or says that nothing ran, so that the call goes to another one.
fn is_answered_or_sent_on(told: &support::Told) -> bool {
    let sent_on = support::Told::Error {
        kind: ErrorKind::ShuttingDown,
        ran: Ran::No,
    };
    matches!(told, support::Told::Answer(_)) || *told == sent_on
}

#[test]
fn a_balancer_that_notices_late_meets_no_closed_entry() {
    smol::block_on(async {
        let mut deployment = start(cfg(0, 2)).await;
        let backends = deployment.entry_addresses().into_iter();
        let backends = backends.map(|address| Backend {
            address,
            is_ready: AtomicBool::new(false),
        });
        let backends = Arc::new(backends.collect::<Vec<Backend>>());
        let stop = Arc::new(AtomicBool::new(false));
        let balancer = smol::spawn(watch_readiness(backends.clone(), stop.clone()));
        let callers: Vec<_> = (0..BALANCED_CALLERS)
            .map(|caller| smol::spawn(call_balanced(backends.clone(), caller, stop.clone())))
            .collect();
        for entry in 0..deployment.entries.len() {
            let until = Instant::now() + HANG;
            while !backends
                .iter()
                .all(|one| one.is_ready.load(Ordering::Acquire))
            {
                assert!(Instant::now() < until, "the entries don't become ready");
                pause(10).await;
            }
            deployment.entries[entry].stop().await.expect("stopped");
            deployment.entries[entry].start().expect("started");
        }
        stop.store(true, Ordering::Release);
        balancer.await;
        let mut ends = Vec::new();
        for caller in callers {
            ends.extend(caller.await);
        }
        let sent = ends.len();
        assert!(sent > 100, "quotes sent: {sent}");
        ends.retain(|told| !is_answered_or_sent_on(told));
        assert_eq!(ends, Vec::new(), "of {sent} quotes");
    });
}

/// Time for the signal to reach an agent, well within the grace of one that leaves.
const SIGNAL_MS: u64 = 60;

#[test]
fn a_key_that_was_issued_just_before_its_agent_leaves_still_works() {
    smol::block_on(async {
        let mut deployment = start(cfg(0, 1)).await;
        let entry = deployment.entry_addresses()[0];
        for order in 0..5 {
            let key = support::issue_key(entry).await;
            let agent = &mut deployment.endpoints[0].agent;
            let process = agent.process().expect("a process");
            process.terminate().expect("told to stop");
            pause(SIGNAL_MS).await;
            let told = Quote::keyed(order, &key).send(entry).await;
            assert!(matches!(told, support::Told::Answer(_)), "{told:?}");
            while agent.is_running() {
                pause(20).await;
            }
            agent.start().expect("started");
            let until = Instant::now() + HANG;
            deployment.wait_ready(until).await.expect("ready");
        }
    });
}
