//! Shares of workspaces in a service that is full, replayed without a network: entries with a gate
//! each, which see only their own calls, and clients that are refused at once where nothing bounds
//! them.

use oleanderlock::prelude::*;
use oleanderlock::workspaces::fair_queue::{FairQueue, LaneName, WaitingRequest};
use oleanderlock::workspaces::service_gate::{Arrival, GateEnd, GateRequest, ServiceGate};
use std::collections::HashMap;

const WORKSPACES: usize = 76;
/// Workspaces that ask for more than their share.
const LARGE: usize = 3;
const ENTRIES: usize = 10;
/// Slots of all servers of the service.
const SLOTS: usize = 60;
const SERVICE_MS: u64 = 50;
const DEADLINE: Millis = Millis(1500);
const LENGTH: Millis = Millis(30_000);
/// Start of the time that is counted, after the first refusals.
const COUNTED_FROM: Millis = Millis(5000);

/// Pseudo-random numbers with a fixed seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// What is replayed.
#[derive(Clone, Copy, PartialEq)]
enum Case {
    Even,
    /// Nearly all calls of the large workspaces arrive at three of the entries.
    OneDomain,
    /// Half of the entries restart in the middle: what they knew and what waited there is lost.
    Restart,
}

#[derive(Clone, Copy, Default)]
struct Count {
    asked: u64,
    served: u64,
    served_ms: u64,
}

struct Running {
    entry: usize,
    workspace: usize,
    took: u64,
    ends: Millis,
}

/// Calls of a workspace in a thousand seconds. The large ones ask for two to four times their share,
/// all together for half more than there is.
const LARGE_DEMAND: u64 = 200_000;
/// The same for a load in which the large ones ask for four to ten times their share.
const HEAVY_DEMAND: u64 = 500_000;

fn demand(workspace: usize, large: u64) -> u64 {
    if workspace < LARGE { large } else { 10_000 }
}

fn service_ms(workspace: usize) -> u64 {
    // The calls of one large workspace take three times as long.
    if workspace == 0 {
        3 * SERVICE_MS
    } else {
        SERVICE_MS
    }
}

fn name(workspace: usize) -> LaneName {
    Some(format!("workspace-{workspace}").into())
}

/// Replays a load and returns the counts by workspace.
fn replay(case: Case, with_gates: bool, large: u64) -> Vec<Count> {
    let mut draw = Draw(7);
    let names: Vec<LaneName> = (0..WORKSPACES).map(name).collect();
    let mut gates = vec![ServiceGate::default(); ENTRIES];
    let mut counts = vec![Count::default(); WORKSPACES];
    let mut running: Vec<Running> = Vec::new();
    let mut requests: HashMap<u64, (usize, usize, GateRequest)> = HashMap::new();
    let mut ticket = 0;
    for ms in 0..LENGTH.0 {
        let now = Millis(ms);
        let counted = now >= COUNTED_FROM;
        if case == Case::Restart && ms == LENGTH.0 / 2 {
            for gate in gates.iter_mut().take(ENTRIES / 2) {
                *gate = ServiceGate::default();
            }
            requests.retain(|_, (entry, _, _)| *entry >= ENTRIES / 2);
        }
        let (ended, rest): (Vec<Running>, Vec<Running>) =
            running.into_iter().partition(|run| run.ends <= now);
        running = rest;
        for run in ended {
            gates[run.entry].end(
                now,
                &names[run.workspace],
                GateEnd::Served(Millis(run.took)),
            );
            if counted {
                counts[run.workspace].served += 1;
                counts[run.workspace].served_ms += run.took;
            }
        }
        // Those that arrive, and then those that waited.
        let mut to_send = Vec::new();
        for workspace in 0..WORKSPACES {
            if draw.below(1_000_000) >= demand(workspace, large) {
                continue;
            }
            let domain = case == Case::OneDomain && workspace < LARGE && draw.below(20) > 0;
            let entry = draw.below(if domain { 3 } else { ENTRIES as u64 }) as usize;
            ticket += 1;
            let request = GateRequest {
                ticket,
                workspace: names[workspace].clone(),
                rank: 5,
                deadline: now.plus(DEADLINE),
            };
            counts[workspace].asked += u64::from(counted);
            let arrival = if with_gates {
                gates[entry].arrive(now, &request)
            } else {
                Arrival::Start
            };
            match arrival {
                Arrival::Start => to_send.push((entry, workspace, request)),
                Arrival::Wait => {
                    requests.insert(ticket, (entry, workspace, request));
                }
                Arrival::Refuse { .. } => {}
            }
        }
        let expired: Vec<u64> = requests
            .iter()
            .filter(|(_, (_, _, request))| request.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            if let Some((entry, _, request)) = requests.remove(&ticket) {
                gates[entry].cancel(&request);
            }
        }
        // Entries in another order each time.
        let first = draw.below(ENTRIES as u64) as usize;
        for entry in (0..ENTRIES).map(|n| (n + first) % ENTRIES) {
            while let Some(ticket) = gates[entry].next(now) {
                to_send.extend(requests.remove(&ticket));
            }
        }
        for (entry, workspace, request) in to_send {
            if running.len() < SLOTS {
                let mean = service_ms(workspace);
                let took = mean / 2 + draw.below(mean);
                let ends = now.plus(Millis(took));
                running.push(Running {
                    entry,
                    workspace,
                    took,
                    ends,
                });
            } else if with_gates {
                gates[entry].end(now, &request.workspace, GateEnd::Full);
                gates[entry].wait_again(&request);
                requests.insert(request.ticket, (entry, workspace, request));
            }
        }
    }
    counts
}

/// Returns the part of its requests that a workspace got.
fn part(count: &Count) -> f64 {
    count.served as f64 / count.asked.max(1) as f64
}

fn sum(counts: &[Count]) -> Count {
    counts.iter().fold(Count::default(), |sum, count| Count {
        asked: sum.asked + count.asked,
        served: sum.served + count.served,
        served_ms: sum.served_ms + count.served_ms,
    })
}

/// Checks the shares of one case against those without gates.
fn check(case: Case) {
    let (counts, naive) = (
        replay(case, true, LARGE_DEMAND),
        replay(case, false, LARGE_DEMAND),
    );
    let all = part(&sum(&counts));
    let (small, small_naive) = (sum(&counts[LARGE..]), sum(&naive[LARGE..]));
    let (small, small_naive) = (part(&small), part(&small_naive));
    let least = counts.iter().map(part).fold(f64::MAX, f64::min);
    let (work, work_naive) = (sum(&counts).served_ms, sum(&naive).served_ms);
    let large: Vec<u64> = counts[..LARGE]
        .iter()
        .map(|count| count.served_ms)
        .collect();
    println!(
        "small {small:.3} (without gates {small_naive:.3}), all {all:.3}, least {least:.3}, \
         work {work} ({work_naive}), large {large:?}"
    );
    assert!(small_naive < 0.8, "the service is not full: {small_naive}");
    assert!(small > 0.95, "small workspaces get {small}");
    assert!(least >= all / 4.0, "one workspace gets {least} of {all}");
    assert!(work * 100 >= work_naive * 93, "work {work} of {work_naive}");
    // By time, not by count: the one with long calls gets as much as each other one.
    let (most, fewest) = (large.iter().max(), large.iter().min());
    assert!(
        most <= fewest.map(|least| least * 3 / 2).as_ref(),
        "{large:?}"
    );
}

/// Guards against large workspaces that crowd out small ones.
#[test]
fn small_workspaces_get_all_they_ask_for_while_the_service_is_full() {
    check(Case::Even);
}

/// Guards against a workspace that gets next to nothing of a great deal that it asks for. Equal shares
/// by time don't give it that: see KNOWN-RED.txt.
#[test]
fn a_workspace_far_above_its_share_is_served_a_quarter_as_often_as_all() {
    let counts = replay(Case::Even, true, HEAVY_DEMAND);
    let all = part(&sum(&counts));
    let least = counts.iter().map(part).fold(f64::MAX, f64::min);
    assert!(least >= all / 4.0, "one workspace gets {least} of {all}");
}

/// Guards against shares that hold only if all entries see the same load.
#[test]
fn shares_hold_while_one_domain_takes_nearly_all_calls_of_the_large_workspaces() {
    check(Case::OneDomain);
}

/// Guards against shares that depend on what an entry has learned over time.
#[test]
fn shares_hold_while_half_of_the_entries_restart() {
    check(Case::Restart);
}

/// Guards against a share that stays with those that it was lent to: a workspace that has asked for
/// nothing gets its part within one service time.
#[test]
fn a_lent_share_is_returned_within_one_service_time() {
    let mut gate = ServiceGate::default();
    let request = |ticket, workspace| GateRequest {
        ticket,
        workspace: name(workspace),
        rank: 5,
        deadline: Millis(60_000),
    };
    // One workspace has all eight slots and a long queue.
    for ticket in 0..8 {
        assert_eq!(gate.arrive(Millis(0), &request(ticket, 0)), Arrival::Start);
    }
    assert_eq!(gate.arrive(Millis(0), &request(8, 0)), Arrival::Start);
    gate.end(Millis(0), &name(0), GateEnd::Full);
    gate.wait_again(&request(8, 0));
    for ticket in 9..100 {
        assert_eq!(gate.arrive(Millis(1), &request(ticket, 0)), Arrival::Wait);
    }
    for ticket in 100..120 {
        assert_eq!(gate.arrive(Millis(2), &request(ticket, 1)), Arrival::Wait);
    }
    // All eight end once.
    let mut started = Vec::new();
    for _ in 0..8 {
        gate.end(Millis(50), &name(0), GateEnd::Served(Millis(50)));
        started.extend(gate.next(Millis(50)));
    }
    let lent = started.iter().filter(|ticket| **ticket >= 100).count();
    assert!(lent * 2 + 1 >= started.len(), "{started:?}");
    assert!(started.len() >= 4, "{started:?}");
}

/// Guards against requests that wait although they can't be served in time, and against pauses after
/// which all return at once.
#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut gate = ServiceGate::default();
    let request = |ticket, workspace| GateRequest {
        ticket,
        workspace: name(workspace),
        rank: 5,
        deadline: Millis(1000),
    };
    assert_eq!(gate.arrive(Millis(0), &request(0, 0)), Arrival::Start);
    gate.end(Millis(0), &name(0), GateEnd::Full);
    gate.wait_again(&request(0, 0));
    let arrivals: Vec<Arrival> = (1..50)
        .map(|ticket| gate.arrive(Millis(0), &request(ticket, 0)))
        .collect();
    let waiting = arrivals.iter().filter(|arrival| **arrival == Arrival::Wait);
    // One at a time, 50 ms each, within a second.
    assert!((15..20).contains(&waiting.count()), "{arrivals:?}");
    let last = arrivals.last().copied();
    assert_eq!(
        last,
        Some(Arrival::Refuse {
            empty_after: Millis(1050)
        })
    );
    // A workspace that asks for little still finds its turn.
    assert_eq!(gate.arrive(Millis(0), &request(99, 1)), Arrival::Wait);
}

/// Guards against urgent requests that wait behind others, and against others that never have a turn.
#[test]
fn urgent_ranks_go_first_but_not_alone() {
    let mut queue = FairQueue::default();
    for ticket in 0..100 {
        let cost = Millis(10);
        queue.push(0, &name(0), WaitingRequest { ticket, cost });
        queue.push(
            7,
            &name(1),
            WaitingRequest {
                ticket: ticket + 1000,
                cost,
            },
        );
    }
    let served: Vec<u64> = (0..100)
        .filter_map(|_| queue.pop())
        .map(|request| request.ticket)
        .collect();
    let urgent = served.iter().filter(|ticket| **ticket < 1000).count();
    assert_eq!(urgent, 75);
    assert!(served[..3].iter().all(|ticket| *ticket < 1000));
}

/// Guards against requests that are lost or served twice.
#[test]
fn a_queue_serves_each_request_once() {
    let mut draw = Draw(3);
    let mut queue = FairQueue::default();
    let mut left = Vec::new();
    for ticket in 0..2000 {
        let (rank, workspace) = (draw.below(3) as u32, draw.below(9) as usize);
        let cost = Millis(draw.below(500));
        queue.push(rank, &name(workspace), WaitingRequest { ticket, cost });
        left.push((ticket, rank, workspace));
        if draw.below(3) == 0 {
            let index = draw.below(left.len() as u64) as usize;
            let (ticket, rank, workspace) = left.swap_remove(index);
            assert!(queue.remove(rank, &name(workspace), ticket));
            assert!(!queue.remove(rank, &name(workspace), ticket));
        }
        if draw.below(4) == 0 {
            let request = queue.pop().expect("a request");
            let position = left
                .iter()
                .position(|(ticket, _, _)| *ticket == request.ticket);
            let (_, rank, workspace) = left.swap_remove(position.expect("it waits"));
            if draw.below(2) == 0 {
                queue.put_back(rank, &name(workspace), request);
                left.push((request.ticket, rank, workspace));
            }
        }
        assert_eq!(queue.len(), left.len());
    }
    let mut served: Vec<u64> = std::iter::from_fn(|| queue.pop())
        .map(|request| request.ticket)
        .collect();
    let mut left: Vec<u64> = left.into_iter().map(|(ticket, _, _)| ticket).collect();
    served.sort_unstable();
    left.sort_unstable();
    assert_eq!(served, left);
    assert_eq!(queue.cost(), Millis::ZERO);
}
