//! The continuous batch of an engine: which requests run and which tokens are due.

use crate::engine_switches::EngineSwitches;
use crate::feed::FeedSender;
use crate::prefix_cache::PrefixCache;
use crate::running::{Progress, Running, Serving};
use crate::switches::take_one;
use crate::token_text::TokenText;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;

/// Most requests that wait for a place.
pub const QUEUE_MAX: usize = 20_000;
/// Most runs that the record keeps.
const RUNS_MAX: usize = 500_000;
/// Load samples kept for lagging reports.
const LOADS_MAX: usize = 100_000;
/// Imported KV caches kept.
const IMPORTS_MAX: usize = 1024;

/// A request to generate, as it comes in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Generate {
    /// Name that `cancel` and `kv/export` use.
    pub request: String,
    /// Prompt text.
    pub prompt: String,
    /// Tokens in the whole answer.
    pub max_tokens: u64,
    /// Greater leaves the queue first.
    #[serde(default)]
    pub priority: i64,
    /// Index of the first token to make.
    #[serde(default)]
    pub resume_from: u64,
    /// Handle of an imported KV cache, which saves the prefill.
    #[serde(default)]
    pub kv_handle: Option<String>,
}

/// One request as the record shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Name of the request.
    pub request: String,
    /// Prompt text.
    pub prompt: String,
    /// Tokens made here.
    pub tokens: u64,
    /// All tokens were made.
    pub finished: bool,
    /// Stopped by `cancel` or because its reader was gone.
    pub cancelled: bool,
    /// The prompt's prefix was in the cache.
    pub cached: bool,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Most requests in the batch.
    pub capacity: usize,
}

#[derive(Debug)]
struct Waiting {
    req: Generate,
    tx: FeedSender,
}

#[derive(Debug)]
struct LoadSample {
    at_us: u64,
    load: EngineLoad,
}

/// Requests that wait and run, with the record of those that ran.
#[derive(Debug, Default)]
pub struct Batch {
    /// Tokens made so far.
    pub tokens: u64,
    /// All requests that started.
    pub runs: Vec<Run>,
    /// The prefix cache.
    pub cache: PrefixCache,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    imports: IndexSet<String>,
    loads: VecDeque<LoadSample>,
}

impl Batch {
    /// Queues a request; returns false when the queue is full.
    pub fn push(&mut self, req: Generate, tx: FeedSender) -> bool {
        if self.waiting.len() >= QUEUE_MAX {
            return false;
        }
        self.waiting.push(Waiting { req, tx });
        true
    }

    /// Cancels all requests with this name; returns whether there was one.
    pub fn cancel(&mut self, request: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting
            .retain(|waiting| waiting.req.request != request);
        let runs = &mut self.runs;
        self.running.retain(|running| {
            let hit = running.req.request == request;
            if hit {
                mark(runs, running.run, |run| run.cancelled = true);
            }
            !hit
        });
        before > self.waiting.len() + self.running.len()
    }

    /// Breaks all streams, as a crash does.
    pub fn break_all(&mut self) {
        let waiting = self.waiting.drain(..).map(|waiting| waiting.tx);
        let running = self.running.drain(..).map(|running| running.tx);
        for tx in waiting.chain(running) {
            let _ = tx.try_send(Err(io::ErrorKind::ConnectionReset.into()));
        }
    }

    /// Returns how many tokens the named running request has, counted from the start.
    pub fn progress(&self, request: &str) -> Option<u64> {
        let mut running = self.running.iter();
        let found = running.find(|running| running.req.request == request)?;
        Some(found.next)
    }

    /// Keeps an imported KV cache.
    pub fn import(&mut self, handle: String) {
        self.imports.insert(handle);
        if self.imports.len() > IMPORTS_MAX {
            self.imports.shift_remove_index(0);
        }
    }

    /// Sends what is due, takes waiting requests into free places, and returns when to call next.
    pub fn tick(
        &mut self,
        switches: &mut EngineSwitches,
        serving: Serving,
        now_us: u64,
    ) -> Option<u64> {
        self.advance(switches, serving, now_us, false);
        self.start_waiting(switches, now_us);
        self.sample_load(switches, now_us);
        let pace_us = switches.pace_us();
        let chunk = switches.chunk_tokens.max(1);
        self.running
            .iter()
            .map(|running| running.due_us(pace_us, chunk))
            .min()
    }

    /// Sends the tokens made so far with the version that made them, before it changes.
    pub fn flush(&mut self, switches: &EngineSwitches, serving: Serving, now_us: u64) {
        self.advance(switches, serving, now_us, true);
    }

    /// Moves the clock of running requests forward without making tokens.
    pub fn pause(&mut self, now_us: u64) {
        for running in &mut self.running {
            running.paced_us = running.paced_us.max(now_us);
        }
    }

    /// Returns the load as it was at `at_us`.
    pub fn load_at(&self, at_us: u64, capacity: usize) -> EngineLoad {
        let mut samples = self.loads.iter().rev();
        let found = samples.find(|sample| sample.at_us <= at_us);
        let empty = EngineLoad {
            capacity,
            ..EngineLoad::default()
        };
        found.map_or(empty, |sample| sample.load)
    }

    fn advance(&mut self, switches: &EngineSwitches, serving: Serving, now_us: u64, flush: bool) {
        let pace_us = switches.pace_us();
        let chunk = switches.chunk_tokens.max(1);
        let mut at = 0;
        while at < self.running.len() {
            let running = &mut self.running[at];
            let from = running.next;
            let progress = running.send_due(pace_us, chunk, serving, now_us, flush);
            let made = running.next - from;
            self.tokens += made;
            mark(&mut self.runs, running.run, |run| run.tokens += made);
            if progress == Progress::Going {
                at += 1;
                continue;
            }
            let ended = self.running.swap_remove(at);
            let finished = ended.next >= ended.req.max_tokens;
            mark(&mut self.runs, ended.run, |run| {
                run.finished = finished;
                run.cancelled = !finished && ended.break_at.is_none();
            });
        }
    }

    fn start_waiting(&mut self, switches: &mut EngineSwitches, now_us: u64) {
        while self.running.len() < switches.capacity && !self.waiting.is_empty() {
            let next = self.pop_waiting();
            if next.tx.is_closed() {
                continue;
            }
            self.start(next, switches, now_us);
        }
    }

    fn pop_waiting(&mut self) -> Waiting {
        let mut best = 0;
        for (at, waiting) in self.waiting.iter().enumerate() {
            if waiting.req.priority > self.waiting[best].req.priority {
                best = at;
            }
        }
        self.waiting.remove(best)
    }

    fn start(&mut self, waiting: Waiting, switches: &mut EngineSwitches, now_us: u64) {
        let Waiting { req, tx } = waiting;
        let hit = self
            .cache
            .touch(&req.prompt, switches.cache_entries, now_us);
        let imported = req
            .kv_handle
            .as_ref()
            .is_some_and(|handle| self.imports.contains(handle));
        let cached = hit || imported;
        let prefill_us = if cached {
            0
        } else {
            switches.prefill_ms * 1000
        };
        let left = req.max_tokens.saturating_sub(req.resume_from);
        let breaks = take_one(&mut switches.break_streams);
        let run = self.record(&req, cached);
        self.running.push(Running {
            run,
            text: TokenText::new(&req.prompt),
            next: req.resume_from,
            paced_us: now_us + prefill_us,
            break_at: breaks.then_some(req.resume_from + left / 2),
            req,
            tx,
        });
    }

    /// Adds a run to the record; returns nothing when the record is full.
    fn record(&mut self, req: &Generate, cached: bool) -> Option<usize> {
        if self.runs.len() >= RUNS_MAX {
            return None;
        }
        self.runs.push(Run {
            request: req.request.clone(),
            prompt: req.prompt.clone(),
            tokens: 0,
            finished: false,
            cancelled: false,
            cached,
        });
        Some(self.runs.len() - 1)
    }

    fn sample_load(&mut self, switches: &EngineSwitches, now_us: u64) {
        let load = EngineLoad {
            running: self.running.len(),
            queued: self.waiting.len(),
            capacity: switches.capacity,
        };
        if self.loads.back().is_some_and(|last| last.load == load) {
            return;
        }
        self.loads.push_back(LoadSample {
            at_us: now_us,
            load,
        });
        if self.loads.len() > LOADS_MAX {
            self.loads.pop_front();
        }
    }
}

fn mark(runs: &mut [Run], at: Option<usize>, change: impl FnOnce(&mut Run)) {
    if let Some(at) = at {
        change(&mut runs[at]);
    }
}
