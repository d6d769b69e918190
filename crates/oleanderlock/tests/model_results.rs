//! Model check of the result log: two dispatchers that both believe that they lead, a store whose
//! answers get lost or whose writes take effect late, and restarts. Runs the real [`ResultLog`].
//!
//! The specification is `docs/spec/result-log.md`.

use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

const JOB: &str = "j";
const ITEMS: usize = 2;
const RESTARTS_MAX: usize = 1;
/// Limit of explored states; the state space is smaller.
const STATES_MAX: usize = 400_000;

/// Guard of the protocol that an exploration disables, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledGuard {
    /// All guards are active.
    Nothing,
    /// A chunk is created only if none exists under its number.
    ConditionalCreate,
    /// A read is answered only after no chunk was found under the next number.
    Verification,
    /// Results are staged again if another writer has created the chunk with their number.
    Requeue,
}

#[derive(Clone, Debug)]
struct Node {
    log: ResultLog,
    staged: [bool; ITEMS],
    restarts: usize,
}

#[derive(Clone, Debug)]
struct World {
    store: Vec<Arc<ResultChunk>>,
    /// Chunk whose write takes effect later.
    late: Option<Arc<ResultChunk>>,
    nodes: [Node; 2],
    /// Most results returned by a read so far; later reads must not return fewer.
    longest_read: usize,
}

#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Answered,
    AnswerLost,
    NotDone,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// Node and item.
    Stage(usize, usize),
    Write(usize, WriteOutcome),
    LateWrite,
    Restart(usize),
    Read(usize),
}

impl World {
    fn new() -> Self {
        let node = Node {
            log: ResultLog::default(),
            staged: [false; ITEMS],
            restarts: 0,
        };
        Self {
            store: Vec::new(),
            late: None,
            nodes: [node.clone(), node],
            longest_read: 0,
        }
    }

    fn actions() -> Vec<Action> {
        let mut all = vec![Action::LateWrite];
        for node in 0..2 {
            all.extend((0..ITEMS).map(|item| Action::Stage(node, item)));
            let outcomes = [
                WriteOutcome::Answered,
                WriteOutcome::AnswerLost,
                WriteOutcome::NotDone,
                WriteOutcome::Late,
            ];
            all.extend(outcomes.map(|outcome| Action::Write(node, outcome)));
            all.extend([Action::Restart(node), Action::Read(node)]);
        }
        all
    }

    /// Applies an action; returns false if it changes nothing.
    fn apply_action(&mut self, action: Action, disabled: DisabledGuard) -> Result<bool, String> {
        match action {
            Action::Stage(node, item) => Ok(self.stage(node, item)),
            Action::Write(node, outcome) => Ok(self.write(node, outcome, disabled)),
            Action::LateWrite => {
                let Some(chunk) = self.late.take() else {
                    return Ok(false);
                };
                self.create(&chunk, disabled);
                Ok(true)
            }
            Action::Restart(node) => Ok(self.restart(node)),
            Action::Read(node) => self.read(node, disabled),
        }
    }

    fn stage(&mut self, node: usize, item: usize) -> bool {
        let state = &mut self.nodes[node];
        if std::mem::replace(&mut state.staged[item], true) {
            return false;
        }
        state.log.stage(Sample {
            key: ItemKey {
                job: JOB.to_owned(),
                item: item.to_string(),
            },
            end: SampleEnd::Done {
                text: format!("by {node}").as_str().into(),
                versions: vec![1],
                score: None,
            },
        })
    }

    fn write(&mut self, node: usize, outcome: WriteOutcome, disabled: DisabledGuard) -> bool {
        let state = &mut self.nodes[node];
        let restarts = state.restarts;
        let Some(chunk) = state
            .log
            .next_chunk(&format!("{node}.{restarts}"), 0, 1 << 20)
        else {
            return false;
        };
        match outcome {
            WriteOutcome::NotDone => {}
            WriteOutcome::Late if self.late.is_some() => return false,
            WriteOutcome::Late => self.late = Some(chunk),
            WriteOutcome::AnswerLost => self.create(&chunk, disabled),
            WriteOutcome::Answered => {
                self.create(&chunk, disabled);
                let found = self.store[chunk.index as usize].clone();
                self.apply(node, &found, disabled);
            }
        }
        true
    }

    fn create(&mut self, chunk: &Arc<ResultChunk>, disabled: DisabledGuard) {
        let index = chunk.index as usize;
        if index == self.store.len() {
            self.store.push(Arc::clone(chunk));
        } else if disabled == DisabledGuard::ConditionalCreate && index < self.store.len() {
            self.store[index] = Arc::clone(chunk);
        }
    }

    fn apply(&mut self, node: usize, chunk: &Arc<ResultChunk>, disabled: DisabledGuard) {
        let log = &mut self.nodes[node].log;
        log.apply(chunk);
        if disabled == DisabledGuard::Requeue {
            // Discards the staged results.
            let mut fresh = ResultLog::default();
            for chunk in &self.store[..log.next_chunk_index() as usize] {
                fresh.apply(chunk);
            }
            *log = fresh;
        }
    }

    fn restart(&mut self, node: usize) -> bool {
        let state = &mut self.nodes[node];
        if state.restarts == RESTARTS_MAX {
            return false;
        }
        state.restarts += 1;
        state.log = ResultLog::default();
        state.staged = [false; ITEMS];
        for chunk in &self.store {
            state.log.apply(chunk);
        }
        true
    }

    fn read(&mut self, node: usize, disabled: DisabledGuard) -> Result<bool, String> {
        let before = format!("{:?}", self.nodes[node].log);
        if disabled != DisabledGuard::Verification {
            while let Some(chunk) = self
                .store
                .get(self.nodes[node].log.next_chunk_index() as usize)
            {
                let chunk = Arc::clone(chunk);
                self.apply(node, &chunk, disabled);
            }
        }
        let read = self.nodes[node].log.read(JOB, 0, usize::MAX).len();
        if read < self.longest_read {
            return Err(format!("read {read} after {}", self.longest_read));
        }
        let changed = read > self.longest_read || format!("{:?}", self.nodes[node].log) != before;
        self.longest_read = read;
        Ok(changed)
    }

    /// Returns the results listed by the chunks in the store: the first result of each item.
    fn listed(&self) -> Vec<Sample> {
        let mut listed: Vec<Sample> = Vec::new();
        for sample in self.store.iter().flat_map(|chunk| &chunk.samples) {
            if listed.iter().all(|known| known.key != sample.key) {
                listed.push(sample.clone());
            }
        }
        listed
    }

    fn check(&self) -> Result<(), String> {
        let expected = self.listed();
        for (number, node) in self.nodes.iter().enumerate() {
            let own = node.log.read(JOB, 0, usize::MAX);
            let prefix = own
                .iter()
                .zip(&expected)
                .all(|(own, expected)| **own == *expected);
            if own.len() > expected.len() || !prefix {
                return Err(format!("node {number} lists what the store does not"));
            }
            let held = |item: usize| {
                node.log.is_known(&ItemKey {
                    job: JOB.to_owned(),
                    item: item.to_string(),
                })
            };
            if let Some(lost) = (0..ITEMS).find(|item| node.staged[*item] && !held(*item)) {
                return Err(format!("node {number} lost item {lost}"));
            }
        }
        Ok(())
    }

    /// Lets both nodes write and read without faults, after which all staged results must be listed.
    fn settle(&self) -> Result<(), String> {
        let mut world = self.clone();
        for _ in 0..6 {
            for node in 0..2 {
                world.apply_action(
                    Action::Write(node, WriteOutcome::Answered),
                    DisabledGuard::Nothing,
                )?;
                world.apply_action(Action::Read(node), DisabledGuard::Nothing)?;
            }
        }
        let listed = world.listed();
        let all = world
            .store
            .iter()
            .map(|chunk| chunk.samples.len())
            .sum::<usize>();
        for node in &world.nodes {
            for item in (0..ITEMS).filter(|item| node.staged[*item]) {
                if listed.iter().all(|one| one.key.item != item.to_string()) {
                    return Err(format!("item {item} is never listed"));
                }
            }
        }
        // A chunk may repeat results that another writer listed while it was being written; readers
        // ignore the repetition.
        (all >= listed.len())
            .then_some(())
            .ok_or_else(|| "listed out of nothing".to_owned())
    }
}

/// Explores all reachable states; returns their number, or the first violation found.
fn explore(disabled: DisabledGuard) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    while let Some(world) = queue.pop_front() {
        for action in World::actions() {
            let mut next = world.clone();
            if !next.apply_action(action, disabled)? {
                continue;
            }
            next.check()?;
            if seen.insert(format!("{next:?}")) {
                next.settle()?;
                assert!(seen.len() < STATES_MAX, "more than {STATES_MAX} states");
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_lists_a_result_twice_out_of_order_or_never() {
    let states = explore(DisabledGuard::Nothing).expect("no violation");
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    let guards = [
        DisabledGuard::ConditionalCreate,
        DisabledGuard::Verification,
        DisabledGuard::Requeue,
    ];
    for guard in guards {
        assert!(explore(guard).is_err(), "{guard:?} is not needed");
    }
}
