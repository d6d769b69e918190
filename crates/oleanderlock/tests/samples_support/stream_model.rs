//! Model of a streamed answer over several attempts.
//!
//! The byte of each token encodes the attempt and the version that truly generated it.

use super::search::{Outcome, Search, search};
use bytes::Bytes;
use indexmap::IndexSet;
use oleanderlock::assembly_limits::AssemblyLimits;
use oleanderlock::prelude::*;
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::segment::Segment;
use oleanderlock::stream_assembly::StreamAssembly;
use oleanderlock::stream_chunk::StreamChunk;
use oleanderlock::whole_answer::WholeAnswer;

pub const INCOMPLETE: &str = "a complete answer has all tokens up to the end of its last attempt";
pub const MIXED_ATTEMPTS: &str = "each attempt's tokens follow the point at which it was resumed";
pub const MISATTRIBUTED: &str = "a known segment names the version that generated its tokens";
pub const RELEASED_NOT_PREFIX: &str =
    "released data is a prefix of the whole answer, released once";
pub const NEVER_COMPLETE: &str = "the answer can still complete";

/// Bounds of one search.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Tokens of each attempt's whole answer, unless it is resumed after more tokens.
    pub totals: Vec<u64>,
    pub max_version: u64,
    /// Messages in flight above which no message is duplicated.
    pub net: usize,
    pub faults: u8,
    pub states: usize,
    /// Whether a chunk's version is known only if the reports before and after it agree.
    pub both_reports: bool,
    /// Whether every state is checked for whether the answer can still complete.
    pub check_completion: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Produce(u8),
    ProduceAcrossSwap(u8),
    End(u8),
    Arrive(u8),
    Lose(u8),
    Repeat(u8),
    Swap,
    FailSwap,
    DetermineVersion,
    Break,
    BreakAndRestart,
    Release,
    CompleteWithoutFaults,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Chunk(StreamChunk),
    End { ticket: Ticket, total: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    resumed_at: u64,
    next: u64,
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    assembly: StreamAssembly,
    runs: Vec<Run>,
    net: Vec<Message>,
    version: Version,
    known: bool,
    released: Vec<u8>,
    faults_left: u8,
}

/// The model with its bounds and guards.
pub struct StreamModel {
    bounds: Bounds,
    guards: SampleGuards,
    worlds: IndexSet<World>,
}

impl StreamModel {
    pub fn new(bounds: Bounds, guards: SampleGuards) -> Self {
        Self {
            bounds,
            guards,
            worlds: IndexSet::new(),
        }
    }

    /// Searches for a violation.
    pub fn run(&mut self) -> Search {
        let limits = AssemblyLimits::default();
        let first = World {
            assembly: StreamAssembly::with_guards(ticket(0), limits, self.guards),
            runs: vec![Run {
                resumed_at: 0,
                next: 0,
                ended: false,
            }],
            net: Vec::new(),
            version: Version(0),
            known: true,
            released: Vec::new(),
            faults_left: self.bounds.faults,
        };
        self.worlds.insert(first);
        let limit = self.bounds.states;
        search(0usize, limit, |index| self.successors(index))
    }

    fn successors(&mut self, index: usize) -> Vec<(Event, Outcome<usize>)> {
        let world = self.worlds[index].clone();
        let mut outcomes = Vec::new();
        if self.bounds.check_completion && !self.can_complete(world.clone()) {
            outcomes.push((Event::CompleteWithoutFaults, Err(NEVER_COMPLETE)));
        }
        for event in self.events(&world) {
            let outcome = self.apply(world.clone(), event);
            let outcome = outcome.map(|mut next| {
                next.net
                    .sort_by_cached_key(|message| format!("{message:?}"));
                self.worlds.insert_full(next).0
            });
            outcomes.push((event, outcome));
        }
        outcomes
    }

    fn total(&self, world: &World, attempt: usize) -> u64 {
        self.bounds.totals[attempt].max(world.runs[attempt].resumed_at)
    }

    fn events(&self, world: &World) -> Vec<Event> {
        if world.assembly.is_whole() {
            return Vec::new();
        }
        let mut events = vec![Event::Release];
        let newer = world.version.0 < self.bounds.max_version;
        for (index, run) in world.runs.iter().enumerate() {
            let left = self.total(world, index) - run.next;
            let attempt = index as u8;
            match left {
                _ if run.ended => {}
                0 => events.push(Event::End(attempt)),
                _ => events.push(Event::Produce(attempt)),
            }
            if left >= 2 && newer && world.known {
                events.push(Event::ProduceAcrossSwap(attempt));
            }
        }
        let can_fail = world.faults_left > 0;
        for index in 0..world.net.len() as u8 {
            events.push(Event::Arrive(index));
            if can_fail {
                events.push(Event::Lose(index));
            }
            if can_fail && world.net.len() <= self.bounds.net {
                events.push(Event::Repeat(index));
            }
        }
        if newer {
            events.push(Event::Swap);
        }
        if newer && can_fail {
            events.push(Event::FailSwap);
        }
        if !world.known {
            events.push(Event::DetermineVersion);
        }
        if world.runs.len() < self.bounds.totals.len() {
            events.extend([Event::Break, Event::BreakAndRestart]);
        }
        events
    }

    fn apply(&self, mut world: World, event: Event) -> Outcome<World> {
        match event {
            Event::Produce(attempt) => {
                let version = world.version;
                self.produce(&mut world, attempt, &[version], version);
            }
            Event::ProduceAcrossSwap(attempt) => {
                let before = world.version;
                world.version.0 += 1;
                let made_by = [before, world.version];
                self.produce(&mut world, attempt, &made_by, before);
            }
            Event::End(attempt) => {
                world.runs[attempt as usize].ended = true;
                let total = self.total(&world, attempt as usize);
                world.net.push(Message::End {
                    ticket: ticket(attempt),
                    total,
                });
            }
            Event::Arrive(index) => {
                let message = world.net.remove(index as usize);
                arrive(&mut world.assembly, message);
                self.check(&world)?;
            }
            Event::Lose(index) => {
                world.faults_left -= 1;
                world.net.remove(index as usize);
            }
            Event::Repeat(index) => {
                world.faults_left -= 1;
                world.net.push(world.net[index as usize].clone());
            }
            Event::Swap => {
                world.version.0 += 1;
                world.known = true;
            }
            Event::FailSwap => {
                world.faults_left -= 1;
                world.version.0 += 1;
                world.known = false;
            }
            Event::DetermineVersion => world.known = true,
            Event::Break => resume(&mut world)?,
            Event::BreakAndRestart => restart(&mut world),
            Event::Release => release(&mut world)?,
            Event::CompleteWithoutFaults => {}
        }
        Ok(world)
    }

    fn produce(&self, world: &mut World, attempt: u8, made_by: &[Version], before: Version) {
        let known = |version| Some(version).filter(|_| world.known);
        let before = known(before);
        let after = match self.bounds.both_reports {
            true => known(world.version),
            false => before,
        };
        let run = &mut world.runs[attempt as usize];
        let offset = run.next;
        run.next += made_by.len() as u64;
        let data: Vec<u8> = made_by.iter().map(|v| attempt * 16 + v.0 as u8).collect();
        world.net.push(Message::Chunk(StreamChunk {
            ticket: ticket(attempt),
            offset,
            tokens: made_by.len() as u64,
            data: Bytes::from(data),
            segments: vec![Segment::around(offset, run.next, before, after)],
        }));
    }

    fn check(&self, world: &World) -> Result<(), &'static str> {
        let Some(answer) = world.assembly.whole() else {
            return Ok(());
        };
        let attempt = world.assembly.ticket().attempt as usize;
        let tokens = answer.data.len() as u64;
        if tokens != self.total(world, attempt) || answer.tokens != tokens {
            return Err(INCOMPLETE);
        }
        if !answer.data.starts_with(&world.released) {
            return Err(RELEASED_NOT_PREFIX);
        }
        check_runs(&answer.data, &world.runs)?;
        check_versions(&answer)
    }

    /// Returns whether one more attempt without faults completes the answer.
    fn can_complete(&self, mut world: World) -> bool {
        if world.assembly.is_whole() {
            return true;
        }
        let attempt = world.runs.len() as u8;
        let Ok(point) = world.assembly.resume(ticket(attempt)) else {
            return false;
        };
        let total = point.offset + 2;
        arrive(
            &mut world.assembly,
            Message::End {
                ticket: ticket(attempt),
                total,
            },
        );
        let segment = Segment::known(world.version, point.offset, total);
        let chunk = StreamChunk {
            ticket: ticket(attempt),
            offset: point.offset,
            tokens: 2,
            data: Bytes::from_static(b"xx"),
            segments: vec![segment],
        };
        arrive(&mut world.assembly, Message::Chunk(chunk));
        world.assembly.is_whole()
    }
}

fn ticket(attempt: u8) -> Ticket {
    Ticket {
        request: RequestId(1),
        attempt: u32::from(attempt),
        incarnation: Incarnation(u64::from(attempt)),
    }
}

/// Delivers a message; an invalid one does not change the answer.
fn arrive(assembly: &mut StreamAssembly, message: Message) {
    let _ = match message {
        Message::Chunk(chunk) => assembly.chunk(chunk),
        Message::End { ticket, total } => assembly.finish(ticket, total),
    };
}

fn resume(world: &mut World) -> Result<(), &'static str> {
    let attempt = world.runs.len() as u8;
    let point = world
        .assembly
        .resume(ticket(attempt))
        .map_err(|_| NEVER_COMPLETE)?;
    if point.text.len() as u64 != point.offset || !point.text.starts_with(&world.released) {
        return Err(RELEASED_NOT_PREFIX);
    }
    world.runs.push(Run {
        resumed_at: point.offset,
        next: point.offset,
        ended: false,
    });
    Ok(())
}

/// Restarts the answer, if the assembly allows it.
fn restart(world: &mut World) {
    let attempt = world.runs.len() as u8;
    if world.assembly.restart(ticket(attempt)).is_ok() {
        world.runs.push(Run {
            resumed_at: 0,
            next: 0,
            ended: false,
        });
    }
}

fn release(world: &mut World) -> Result<(), &'static str> {
    let Some(released) = world.assembly.release() else {
        return Ok(());
    };
    if released.offset != world.released.len() as u64 {
        return Err(RELEASED_NOT_PREFIX);
    }
    world.released.extend_from_slice(&released.data);
    Ok(())
}

fn check_runs(data: &[u8], runs: &[Run]) -> Result<(), &'static str> {
    for (position, byte) in data.iter().enumerate() {
        let attempt = byte / 16;
        let resumed_at = runs[attempt as usize].resumed_at as usize;
        let follows =
            position == resumed_at || position > resumed_at && data[position - 1] / 16 == attempt;
        if !follows {
            return Err(MIXED_ATTEMPTS);
        }
    }
    Ok(())
}

fn check_versions(answer: &WholeAnswer) -> Result<(), &'static str> {
    for segment in answer.attribution.segments() {
        let made = &answer.data[segment.first as usize..segment.end as usize];
        let mut versions = made.iter().map(|byte| Version(u64::from(byte % 16)));
        if segment
            .version
            .is_some_and(|named| versions.any(|made| made != named))
        {
            return Err(MISATTRIBUTED);
        }
    }
    Ok(())
}
