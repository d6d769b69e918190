//! Discrete-event simulation of one endpoint behind admission control.

use oleanderlock::admission::Admission;
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::prelude::*;
use oleanderlock::shares::ClassGrant;
use oleanderlock::work::{AdmissionAction, Refusal, Verdict, Work};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// A Poisson stream of requests of one class. Times are in milliseconds unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub class: &'static str,
    pub kind: WorkKind,
    pub priority: u32,
    pub share_percent: u32,
    pub latency_bound: u64,
    pub deadline: u64,
    /// Mean time between arrivals, in microseconds.
    pub every_us: u64,
    /// Minimum and maximum length of a request, in tokens.
    pub tokens: (u64, u64),
    /// Cost with which requests are submitted; their actual tokens if `None`.
    pub claim: Option<u64>,
    /// When the stream starts and ends.
    pub from: u64,
    pub until: u64,
}

/// What happened to one request; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub class: &'static str,
    pub arrived: u64,
    pub started: Option<u64>,
    pub ended: Option<u64>,
    /// Time of the refusal, and the refusal.
    pub refused: Option<(u64, Refusal)>,
    pub tokens: u64,
    pub deadline: u64,
}

enum Event {
    Arrive(Stream),
    End(Ticket),
    Tick,
}

/// The simulation. Each running request generates a token every `token_us` microseconds.
pub struct Driver {
    pub admission: Admission,
    pub records: HashMap<Ticket, Record>,
    /// Pending events by time in microseconds and sequence number.
    agenda: BTreeMap<(u64, u64), Event>,
    rng: StdRng,
    next: u64,
    token_us: u64,
}

/// Interval of [`Admission::tick`], in milliseconds.
const TICK_MS: u64 = 10;

impl Driver {
    pub fn new(cfg: AdmissionConfig, streams: &[Stream], token_us: u64, seed: u64) -> Self {
        let mut admission = Admission::new(cfg);
        admission.set_classes(&streams.iter().map(grant).collect::<Vec<_>>());
        let mut driver = Self {
            admission,
            records: HashMap::new(),
            agenda: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            next: 0,
            token_us,
        };
        driver.plan(0, Event::Tick);
        for stream in streams {
            driver.plan(stream.from * 1000, Event::Arrive(*stream));
        }
        driver
    }

    pub fn run(&mut self, until_ms: u64) {
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > until_ms * 1000 {
                return;
            }
            let ((at, _), event) = entry.remove_entry();
            self.handle(at, event);
        }
    }

    fn handle(&mut self, at: u64, event: Event) {
        let now = Millis(at / 1000);
        let actions = match event {
            Event::Arrive(stream) => return self.arrive(at, stream),
            Event::Tick => {
                self.plan(at + TICK_MS * 1000, Event::Tick);
                self.admission.tick(now)
            }
            Event::End(ticket) => {
                let record = self
                    .records
                    .get_mut(&ticket)
                    .expect("the request is running");
                record.ended = Some(now.0);
                self.admission.finish(now, ticket, record.tokens)
            }
        };
        for action in actions {
            match action {
                AdmissionAction::Start(ticket) => self.start(at, ticket),
                AdmissionAction::Refuse(ticket, refusal) => self.refuse(now, ticket, refusal),
            }
        }
    }

    fn arrive(&mut self, at: u64, stream: Stream) {
        let now = Millis(at / 1000);
        if now.0 >= stream.until {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * stream.every_us as f64;
        self.plan(at + gap as u64, Event::Arrive(stream));
        let tokens = self.rng.random_range(stream.tokens.0..=stream.tokens.1);
        let work = self.work(now, &stream, tokens);
        let record = Record {
            class: stream.class,
            arrived: now.0,
            started: None,
            ended: None,
            refused: None,
            tokens,
            deadline: work.deadline.0,
        };
        self.records.insert(work.ticket, record);
        match self.admission.submit(now, work) {
            Verdict::Start => self.start(at, work.ticket),
            Verdict::Refuse(refusal) => self.refuse(now, work.ticket, refusal),
            Verdict::Queued => {}
            Verdict::Duplicate => panic!("tickets differ"),
        }
    }

    fn work(&mut self, now: Millis, stream: &Stream, tokens: u64) -> Work {
        self.next += 1;
        let ticket = Ticket {
            request: RequestId(self.next.into()),
            ..Ticket::default()
        };
        let class = self.admission.class(stream.class.as_bytes());
        Work {
            ticket,
            class: class.expect("the class is granted"),
            kind: stream.kind,
            priority: stream.priority,
            deadline: now.plus(Millis(stream.deadline)),
            cost: stream.claim.unwrap_or(tokens),
        }
    }

    fn start(&mut self, at: u64, ticket: Ticket) {
        let record = self.records.get_mut(&ticket).expect("the request arrived");
        assert!(record.started.is_none() && record.refused.is_none());
        record.started = Some(at / 1000);
        let end = at + record.tokens * self.token_us;
        self.plan(end, Event::End(ticket));
    }

    fn refuse(&mut self, now: Millis, ticket: Ticket, refusal: Refusal) {
        let record = self.records.get_mut(&ticket).expect("the request arrived");
        assert!(record.started.is_none() && record.refused.is_none());
        record.refused = Some((now.0, refusal));
    }

    fn plan(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.agenda.insert((at, self.next), event);
    }

    /// Returns the tokens of requests of the class that started in a period.
    pub fn served(&self, class: &str, from: u64, until: u64) -> u64 {
        let is_in = |record: &&Record| {
            record.class == class && record.started.is_some_and(|at| (from..until).contains(&at))
        };
        self.records
            .values()
            .filter(is_in)
            .map(|record| record.tokens)
            .sum()
    }

    /// Returns the tokens of requests that arrived in a period and ended before their deadline.
    pub fn goodput(&self, from: u64, until: u64) -> u64 {
        let is_good = |record: &&Record| {
            (from..until).contains(&record.arrived)
                && record.ended.is_some_and(|at| at <= record.deadline)
        };
        self.records
            .values()
            .filter(is_good)
            .map(|record| record.tokens)
            .sum()
    }

    /// Returns a quantile of the latency, in milliseconds, of the requests of a class that arrived
    /// in a period and have ended.
    pub fn latency(&self, class: &str, from: u64, until: u64, quantile: f64) -> u64 {
        let is_in =
            |record: &&Record| record.class == class && (from..until).contains(&record.arrived);
        let ended = self.records.values().filter(is_in);
        let mut latencies: Vec<u64> = ended
            .filter_map(|record| Some(record.ended? - record.arrived))
            .collect();
        latencies.sort_unstable();
        latencies[((latencies.len() - 1) as f64 * quantile) as usize]
    }
}

fn grant(stream: &Stream) -> ClassGrant {
    ClassGrant {
        name: stream.class.into(),
        share_percent: stream.share_percent,
        latency_bound: Millis(stream.latency_bound),
    }
}
