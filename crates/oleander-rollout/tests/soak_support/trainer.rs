//! Clients of batch jobs: a trainer that runs one step after the other, a submitter of small jobs,
//! and a reader.

use super::known_job::KnownJob;
use super::observations::Observations;
use crate::support::http::{Reply, call};
use crate::support::{HOST, MODEL, job};
use oleander_platform_standins::stand_in_store::StandInStore;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Groups of a job, of two items each.
const GROUPS: usize = 6;
/// Fewest events of an item of a training step.
const EVENTS_MIN: usize = 12;
/// Time after which the trainer ends a step that is not complete.
const STEP_MAX: Duration = Duration::from_secs(9);
/// Most attempts to submit a job, or to end one.
const ATTEMPTS: usize = 5;
/// Time after which every entry must know an accepted job, and must return a result that another
/// one returned. A leader that has just been replaced may list one more chunk, which the new one
/// sees within 0.7 s.
const SETTLE: Duration = Duration::from_secs(1);
/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(60);

/// Submits small jobs one after the other, without reading them, until the soak is over.
pub fn submit_more(seed: u64, entries: &[SocketAddr], observed: &Observations) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x7375_626d);
    let mut number = 0x8000;
    while !observed.is_done() {
        number += 1;
        let id = format!("more-{number}");
        let body = job(number, 1, GROUPS, 1);
        submit(&id, &body, entries, &mut rng, observed);
        thread::sleep(4 * PAUSE);
    }
}

/// Submits, reads and ends training steps until the soak is over; each complete one publishes a new
/// weight version.
pub fn train(seed: u64, entries: &[SocketAddr], store: &StandInStore, observed: &Observations) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x7472_6169);
    let mut version = 1;
    let mut step = 0;
    while !observed.is_done() {
        step += 1;
        let oldest = u64::max(1, version - 1);
        let body = job(step, oldest, GROUPS, EVENTS_MIN);
        let id = format!("soak-{step}");
        if !submit(&id, &body, entries, &mut rng, observed) {
            thread::sleep(PAUSE);
            continue;
        }
        if read_step(&id, entries, &mut rng, observed) {
            observed.complete_steps.fetch_add(1, Ordering::Relaxed);
            version += 1;
            store.put(
                "versions",
                MODEL,
                &json!({"model": MODEL, "version": version}),
            );
        }
        end(&id, entries, &mut rng);
    }
}

fn pick(entries: &[SocketAddr], rng: &mut StdRng) -> SocketAddr {
    entries[rng.random_range(0..entries.len())]
}

/// Submits a job until it is accepted or [`ATTEMPTS`] have failed; returns whether it is accepted.
pub fn submit(
    id: &str,
    body: &Value,
    entries: &[SocketAddr],
    rng: &mut StdRng,
    observed: &Observations,
) -> bool {
    let known = KnownJob {
        body: body.clone(),
        accepted: None,
        refused: true,
        results: Vec::new(),
    };
    observed.jobs.lock().insert(id.to_owned(), known);
    for _ in 0..ATTEMPTS {
        let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "2000")];
        let path = format!("/rollout/{id}");
        let bytes = body.to_string();
        let reply = call(
            pick(entries, rng),
            "POST",
            &path,
            &headers,
            bytes.as_bytes(),
        );
        let status = reply.map(|reply| reply.status);
        let mut jobs = observed.jobs.lock();
        let known = jobs.get_mut(id).expect("just inserted");
        match status {
            Some(202) => {
                known.accepted = Some(Instant::now());
                known.refused = false;
                return true;
            }
            Some(429 | 503 | 408 | 421) => {}
            Some(status @ 400..500) => observed.add_violation(format!("{id} denied with {status}")),
            _ => known.refused = false,
        }
        drop(jobs);
        thread::sleep(PAUSE);
    }
    false
}

/// Reads a step until it is complete or [`STEP_MAX`] has passed; returns whether it is complete.
fn read_step(id: &str, entries: &[SocketAddr], rng: &mut StdRng, observed: &Observations) -> bool {
    let began = Instant::now();
    let mut after = 0;
    while after < GROUPS * 2 && began.elapsed() < STEP_MAX {
        after = read(id, after, pick(entries, rng), observed).unwrap_or(after);
        thread::sleep(PAUSE);
    }
    after >= GROUPS * 2
}

fn end(id: &str, entries: &[SocketAddr], rng: &mut StdRng) {
    for _ in 0..ATTEMPTS {
        let path = format!("/-/lots/{id}");
        let reply = call(pick(entries, rng), "DELETE", &path, &[("host", HOST)], b"");
        if reply.is_some_and(|reply| reply.status == 200) {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// Reads the results of a job from a position on and compares them with those that were read
/// before; returns the next position, or `None` if the entry gave no results.
pub fn read(id: &str, after: usize, entry: SocketAddr, observed: &Observations) -> Option<usize> {
    let sent = Instant::now();
    let path = format!("/-/lots/{id}?after={after}");
    let reply: Reply = call(
        entry,
        "GET",
        &path,
        &[("host", HOST), ("wait-ms", "200")],
        b"",
    )?;
    let mut jobs = observed.jobs.lock();
    let known = jobs.get_mut(id).expect("a known job");
    let settled = known.results.iter();
    let settled = settled.filter(|(_, at)| sent > *at + SETTLE).count();
    match reply.status {
        200 => {}
        404 | 410 => {
            if known.accepted.is_some_and(|at| sent > at + SETTLE) {
                observed.add_violation(format!("{id} is lost: {}", reply.status));
            }
            return None;
        }
        _ => return None,
    }
    let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let Some(results) = answer["results"].as_array() else {
        observed.add_violation(format!("{id}: no results in {answer}"));
        return None;
    };
    if answer["total"] != GROUPS * 2 || answer["next"] != after + results.len() {
        observed.add_violation(format!("{id}: wrong total or next in {answer}"));
    }
    let next = after + results.len();
    if after < settled && next < settled {
        observed.add_violation(format!(
            "{id}: read up to {next}, but {settled} results were readable a second before"
        ));
    }
    for (index, result) in (after..).zip(results) {
        match known.results.get(index) {
            Some((before, _)) if before != result => {
                observed.add_violation(format!("{id}: position {index} changed"));
            }
            Some(_) => {}
            None if index == known.results.len() => {
                known.results.push((result.clone(), Instant::now()));
            }
            None => {}
        }
    }
    Some(next)
}

/// Reads accepted jobs from random positions at random entries until the soak is over.
pub fn read_at_random(seed: u64, entries: &[SocketAddr], observed: &Observations) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x6c6f_6f6b);
    while !observed.is_done() {
        thread::sleep(PAUSE);
        let jobs: Vec<String> = {
            let jobs = observed.jobs.lock();
            let accepted = jobs.iter().filter(|(_, job)| job.accepted.is_some());
            accepted.map(|(id, _)| id.clone()).collect()
        };
        if jobs.is_empty() {
            continue;
        }
        let id = &jobs[rng.random_range(0..jobs.len())];
        let after = rng.random_range(0..GROUPS * 2);
        // Results that were readable a second before must still be.
        read(id, after, pick(entries, &mut rng), observed);
    }
}
