//! A process of a replay that chooses endpoints.

use super::case::Case;
use super::fleet::{Endpoint, domain};
use super::rule::Rule;
use indexmap::IndexMap;
use oleanderlock::prelude::*;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::endpoint_load::EndpointLoad;
use oleanderlock::routing::endpoint_pick::pick;
use oleanderlock::routing::even_caller::EvenCaller;
use oleanderlock::routing::even_candidate::EvenCandidate;
use oleanderlock::routing::even_choice::even_choice;
use oleanderlock::routing::even_service::EvenService;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

/// Time for which an idle connection is kept, in microseconds.
const KEEP_US: u64 = 3_500_000;

/// A process that chooses endpoints.
#[derive(Debug)]
pub struct Chooser {
    pub domain: String,
    caller: EvenCaller,
    loads: IndexMap<String, EndpointLoad>,
    even: EvenService,
    // When each idle connection expires, by endpoint.
    idle: Vec<Vec<u64>>,
    // Occupied slots by the last report.
    pub report: Vec<usize>,
    pub opened: u64,
    pub open: usize,
}

impl Chooser {
    /// Returns chooser `index` of a case.
    pub fn new(case: &Case, index: usize) -> Self {
        let caller = if index < case.entries {
            EvenCaller {
                callers: case.entries,
                index,
            }
        } else {
            EvenCaller {
                callers: case.agents,
                index: index - case.entries,
            }
        };
        Self {
            domain: domain(index),
            caller,
            loads: IndexMap::new(),
            even: EvenService::default(),
            idle: vec![Vec::new(); case.endpoints],
            report: vec![0; case.endpoints],
            opened: 0,
            open: 0,
        }
    }

    /// Chooses an endpoint that is not in `tried`.
    pub fn choose(
        &mut self,
        rule: Rule,
        endpoints: &[Endpoint],
        tried: &[String],
        now: u64,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let indexes = 0..endpoints.len();
        let left = indexes.filter(|it| !tried.contains(&endpoints[*it].entry.instance));
        match rule {
            Rule::Random => left.choose(rng),
            Rule::LeastReport => {
                let draw = |it: &usize| (self.report[*it], *it);
                left.min_by_key(draw)
            }
            Rule::TwoRandom => {
                let two = left.choose_multiple(rng, 2);
                two.into_iter().min_by_key(|it| self.report[*it])
            }
            Rule::Current | Rule::Even => {
                let chosen = self.choose_by_calls(rule, endpoints, tried, now, rng.random())?;
                endpoints.iter().position(|it| it.entry.instance == chosen)
            }
        }
    }

    fn choose_by_calls(
        &mut self,
        rule: Rule,
        endpoints: &[Endpoint],
        tried: &[String],
        now: u64,
        draw: u64,
    ) -> Option<String> {
        let candidates = endpoints.iter().map(|it| Candidate {
            entry: &it.entry,
            load: self
                .loads
                .get(&it.entry.instance)
                .copied()
                .unwrap_or_default(),
            limit_delay: Millis::ZERO,
        });
        let clock = Millis(now / 1000);
        if rule == Rule::Current {
            let candidates: Vec<Candidate<'_>> = candidates.collect();
            let chosen = pick(clock, &self.domain, &candidates, tried, draw);
            return chosen.map(|entry| entry.instance.clone());
        }
        let idle = &self.idle;
        let candidates = candidates.zip(idle).map(|(candidate, idle)| EvenCandidate {
            candidate,
            connected: idle.iter().any(|until| *until > now),
        });
        let candidates: Vec<EvenCandidate<'_>> = candidates.collect();
        let (even, domain) = (&mut self.even, &self.domain);
        let pick = even_choice(even, clock, domain, self.caller, &candidates, tried, draw)?;
        Some(pick.entry.instance.clone())
    }

    /// Takes a connection to an endpoint; returns whether it had to be opened.
    pub fn connect(&mut self, endpoint: usize, now: u64) -> bool {
        for idle in &mut self.idle {
            let before = idle.len();
            idle.retain(|until| *until > now);
            self.open -= before - idle.len();
        }
        let opened = self.idle[endpoint].pop().is_none();
        self.opened += u64::from(opened);
        self.open += usize::from(opened);
        opened
    }

    /// Keeps a connection for further calls.
    pub fn put_back(&mut self, endpoint: usize, now: u64) {
        self.idle[endpoint].push(now + KEEP_US);
    }

    /// Records that a call is sent.
    pub fn start(&mut self, instance: &str, now: u64) {
        self.load(instance).in_flight += 1;
        self.even
            .update(instance, |it| it.record_start(Millis(now / 1000)));
    }

    /// Records that a call is no longer in flight.
    pub fn end(&mut self, instance: &str, now: u64) {
        let load = self.load(instance);
        load.in_flight -= 1;
        let left = load.in_flight;
        self.even
            .update(instance, |it| it.record_end(left, Millis(now / 1000)));
    }

    /// Records an answer.
    pub fn learn(&mut self, instance: &str, took_us: u64, now: u64) {
        let took = Millis(took_us / 1000);
        self.load(instance).record_answer(took);
        let clock = Millis(now / 1000);
        self.even
            .update(instance, |it| it.record_answer(took, clock));
    }

    /// Records a refusal.
    pub fn refused(&mut self, instance: &str, now: u64) {
        let clock = Millis(now / 1000);
        self.load(instance).record_full(clock);
        self.even.update(instance, |it| it.record_full(clock));
    }

    fn load(&mut self, instance: &str) -> &mut EndpointLoad {
        self.loads.entry(instance.to_owned()).or_default()
    }
}
