//! Compares the cache hits of prefix affinity with those of least outstanding requests, on
//! simulated endpoints with bounded prefix caches.

use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::endpoint::{EndpointInfo, EndpointKey, EndpointReport, EndpointState, Proximity};
use oleanderlock::endpoint_choice::{ChoiceConfig, EndpointChoice};
use oleanderlock::load::Load;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use oleanderlock::trainer_preference::TrainerPreference;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};

const ENDPOINTS: u64 = 9;
/// Slots of each endpoint.
const CAPACITY: u32 = 8;
/// Prefixes that the cache of each endpoint holds.
const CACHE: usize = 8;
/// Number of distinct prefixes.
const PREFIXES: u64 = 60;
const REQUESTS: u64 = 20_000;

/// Result of a run.
struct RunResult {
    hit_percent: f64,
    /// Maximum number of requests in flight at one endpoint.
    max_in_flight: u32,
}

/// Sends requests that keep the fraction `load` of all slots in use. Each holds its slot for 100 ms
/// on average, and `hot_percent` of them have the same prefix.
fn run(policy: Policy, load: f64, hot_percent: u64, seed: u64) -> RunResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut choice = EndpointChoice::new(ChoiceConfig { policy });
    let mut caches: HashMap<EndpointKey, VecDeque<u64>> = HashMap::new();
    for identity in 0..ENDPOINTS {
        let info = EndpointInfo {
            identity: identity + 1,
            proximity: Proximity::Region,
            targets: vec!["advisor".into()],
        };
        let key = choice.insert(Millis::ZERO, info);
        choice.apply_report(Millis::ZERO, key, idle());
        caches.insert(key, VecDeque::new());
    }
    let slots = ENDPOINTS as f64 * f64::from(CAPACITY) * load;
    let mut ends: BTreeMap<(u64, u64), EndpointKey> = BTreeMap::new();
    let (mut hits, mut max_in_flight) = (0, 0);
    for number in 0..REQUESTS {
        let now = (number as f64 * 100.0 / slots) as u64;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            choice.record_end(Millis(now), entry.remove(), AttemptEnd::Finished);
        }
        let is_hot = rng.random_range(0..100) < hot_percent;
        let prefix = if is_hot {
            0
        } else {
            rng.random_range(0..PREFIXES)
        };
        let req = request(prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15), rng.random());
        let key = choice
            .choose(Millis(now), &req)
            .expect("all endpoints accept work");
        choice.record_start(Millis(now), key);
        max_in_flight = max_in_flight.max(choice.in_flight(key));
        ends.insert((now + rng.random_range(50..150), number), key);
        hits += u64::from(hit(
            caches.get_mut(&key).expect("each endpoint has a cache"),
            prefix,
        ));
    }
    RunResult {
        hit_percent: hits as f64 * 100.0 / REQUESTS as f64,
        max_in_flight,
    }
}

fn idle() -> EndpointReport {
    EndpointReport {
        state: EndpointState::Serving,
        load: Load {
            capacity: CAPACITY,
            ..Load::default()
        },
        version: None,
    }
}

fn request(prefix: u64, draw: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        target: b"advisor",
        prefix: Some(prefix),
        deadline: Millis::MAX,
        kind: WorkKind::Interactive,
        preference: TrainerPreference::Idle,
        excluded: &[],
        draw,
    }
}

/// Looks up a prefix in an LRU cache and inserts it; returns whether it was cached.
fn hit(cache: &mut VecDeque<u64>, prefix: u64) -> bool {
    let found = cache.iter().position(|it| *it == prefix);
    if let Some(index) = found {
        cache.remove(index);
    }
    cache.push_back(prefix);
    if cache.len() > CACHE {
        cache.pop_front();
    }
    found.is_some()
}

#[test]
fn affinity_has_at_least_one_and_a_half_times_the_cache_hits() {
    for seed in 0..4 {
        for load in [0.5, 0.8] {
            let product = run(Policy::Product, load, 0, seed).hit_percent;
            let baseline = run(Policy::LeastOutstanding, load, 0, seed).hit_percent;
            println!(
                "figure hit-rate seed={seed} load={load} product={product:.1} least-outstanding={baseline:.1}"
            );
            assert!(
                product >= 1.5 * baseline,
                "seed {seed} load {load}: {product} {baseline}"
            );
        }
    }
}

#[test]
fn hot_prefix_does_not_overload_its_endpoint() {
    for seed in 0..4 {
        for load in [0.5, 0.8] {
            let most = run(Policy::Product, load, 70, seed).max_in_flight;
            println!("figure hot-prefix seed={seed} load={load} most={most}");
            assert!(
                most <= CAPACITY + CAPACITY / 4,
                "seed {seed} load {load}: {most}"
            );
        }
    }
}

#[test]
fn removing_an_endpoint_moves_only_its_own_prefixes() {
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let info = |identity| EndpointInfo {
        identity,
        proximity: Proximity::Region,
        targets: vec!["advisor".into()],
    };
    let keys: Vec<EndpointKey> = (1..=8)
        .map(|identity| choice.insert(Millis::ZERO, info(identity)))
        .collect();
    let assignments = |choice: &mut EndpointChoice| -> Vec<Option<EndpointKey>> {
        let prefixes = (0..400u64).map(|prefix| prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        prefixes
            .map(|prefix| choice.choose(Millis::ZERO, &request(prefix, 0)))
            .collect()
    };
    let before = assignments(&mut choice);
    choice.remove(keys[3]);
    let after = assignments(&mut choice);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.clone().all(|(old, _)| *old == Some(keys[3])));
    assert!((25..=75).contains(&moved.count()));
}
