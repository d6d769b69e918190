//! Prefix affinity against least outstanding requests, with bounded caches.

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
const CAPACITY: u32 = 8;
const CACHE: usize = 8;
const PREFIXES: u64 = 60;
const REQUESTS: u64 = 20_000;

/// What came of a run.
struct Outcome {
    hit_percent: f64,
    /// Most requests in flight at one endpoint.
    most: u32,
}

/// Sends requests with skewed prefixes at `load` of all slots, each holding one for 100 rounds.
fn run(policy: Policy, load: f64, hot_percent: u64, seed: u64) -> Outcome {
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
        choice.report(Millis::ZERO, key, idle());
        caches.insert(key, VecDeque::new());
    }
    let slots = ENDPOINTS as f64 * f64::from(CAPACITY) * load;
    let mut ends: BTreeMap<(u64, u64), EndpointKey> = BTreeMap::new();
    let (mut hits, mut most) = (0, 0);
    for number in 0..REQUESTS {
        let now = (number as f64 * 100.0 / slots) as u64;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            choice.ended(Millis(now), entry.remove(), AttemptEnd::Finished);
        }
        let is_hot = rng.random_range(0..100) < hot_percent;
        let prefix = if is_hot {
            0
        } else {
            rng.random_range(0..PREFIXES)
        };
        let req = request(prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15), rng.random());
        let key = choice.choose(Millis(now), &req).expect("all take work");
        choice.started(Millis(now), key);
        most = most.max(choice.in_flight(key));
        ends.insert((now + rng.random_range(50..150), number), key);
        hits += u64::from(hit(caches.get_mut(&key).expect("it has a cache"), prefix));
    }
    Outcome {
        hit_percent: hits as f64 * 100.0 / REQUESTS as f64,
        most,
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

/// Looks up a prefix in a cache that forgets the least recently used.
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
fn affinity_hits_at_least_one_and_a_half_times_as_often() {
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
fn a_hot_prefix_does_not_overload_its_home() {
    for seed in 0..4 {
        for load in [0.5, 0.8] {
            let most = run(Policy::Product, load, 70, seed).most;
            println!("figure hot-prefix seed={seed} load={load} most={most}");
            assert!(
                most <= CAPACITY + CAPACITY / 4,
                "seed {seed} load {load}: {most}"
            );
        }
    }
}

#[test]
fn a_home_stays_when_others_come_and_go() {
    let mut choice = EndpointChoice::new(ChoiceConfig::default());
    let info = |identity| EndpointInfo {
        identity,
        proximity: Proximity::Region,
        targets: vec!["advisor".into()],
    };
    let keys: Vec<EndpointKey> = (1..=8)
        .map(|identity| choice.insert(Millis::ZERO, info(identity)))
        .collect();
    let homes = |choice: &mut EndpointChoice| -> Vec<Option<EndpointKey>> {
        let prefixes = (0..400u64).map(|prefix| prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        prefixes
            .map(|prefix| choice.choose(Millis::ZERO, &request(prefix, 0)))
            .collect()
    };
    let before = homes(&mut choice);
    choice.remove(keys[3]);
    let after = homes(&mut choice);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.clone().all(|(old, _)| *old == Some(keys[3])));
    assert!((25..=75).contains(&moved.count()));
}
