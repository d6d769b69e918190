//! Model check of the result log: two dispatchers that both believe to lead, a store whose answers
//! get lost or whose writes take effect late, and restarts. Runs the real [`ResultLog`].
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
/// States after which a search ends; the whole space is smaller.
const STATES_MAX: usize = 400_000;

/// Guards of the protocol that a search may take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Nothing,
    /// A chunk is created only if its number is free.
    ConditionalCreate,
    /// A read is answered only after the next number was found free.
    Verification,
    /// Results whose number another writer took are written behind it.
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
    late: Option<Arc<ResultChunk>>,
    nodes: [Node; 2],
    longest_read: usize,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    NotDone,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Stage(usize, usize),
    Write(usize, Fate),
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
            let fates = [Fate::Answered, Fate::AnswerLost, Fate::NotDone, Fate::Late];
            all.extend(fates.map(|fate| Action::Write(node, fate)));
            all.extend([Action::Restart(node), Action::Read(node)]);
        }
        all
    }

    /// Takes an action; returns false when it changes nothing.
    fn take(&mut self, action: Action, missing: Missing) -> Result<bool, String> {
        match action {
            Action::Stage(node, item) => Ok(self.stage(node, item)),
            Action::Write(node, fate) => Ok(self.write(node, fate, missing)),
            Action::LateWrite => {
                let Some(chunk) = self.late.take() else {
                    return Ok(false);
                };
                self.create(&chunk, missing);
                Ok(true)
            }
            Action::Restart(node) => Ok(self.restart(node)),
            Action::Read(node) => self.read(node, missing),
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
                text: format!("by {node}"),
                versions: vec![1],
                score: None,
            },
        })
    }

    fn write(&mut self, node: usize, fate: Fate, missing: Missing) -> bool {
        let state = &mut self.nodes[node];
        let restarts = state.restarts;
        let Some(chunk) = state
            .log
            .next_chunk(&format!("{node}.{restarts}"), 0, 1 << 20)
        else {
            return false;
        };
        match fate {
            Fate::NotDone => {}
            Fate::Late if self.late.is_some() => return false,
            Fate::Late => self.late = Some(chunk),
            Fate::AnswerLost => self.create(&chunk, missing),
            Fate::Answered => {
                self.create(&chunk, missing);
                let found = self.store[chunk.index as usize].clone();
                self.apply(node, &found, missing);
            }
        }
        true
    }

    fn create(&mut self, chunk: &Arc<ResultChunk>, missing: Missing) {
        let index = chunk.index as usize;
        if index == self.store.len() {
            self.store.push(Arc::clone(chunk));
        } else if missing == Missing::ConditionalCreate && index < self.store.len() {
            self.store[index] = Arc::clone(chunk);
        }
    }

    fn apply(&mut self, node: usize, chunk: &Arc<ResultChunk>, missing: Missing) {
        let log = &mut self.nodes[node].log;
        log.apply(chunk);
        if missing == Missing::Requeue {
            // Forgets what waits.
            let mut fresh = ResultLog::default();
            for chunk in &self.store[..log.next_index() as usize] {
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

    fn read(&mut self, node: usize, missing: Missing) -> Result<bool, String> {
        let before = format!("{:?}", self.nodes[node].log);
        if missing != Missing::Verification {
            while let Some(chunk) = self.store.get(self.nodes[node].log.next_index() as usize) {
                let chunk = Arc::clone(chunk);
                self.apply(node, &chunk, missing);
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

    /// The listed results as anybody reads them from the store: each item once, first come.
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
        let truth = self.listed();
        for (number, node) in self.nodes.iter().enumerate() {
            let own = node.log.read(JOB, 0, usize::MAX);
            let prefix = own.iter().zip(&truth).all(|(own, truth)| **own == *truth);
            if own.len() > truth.len() || !prefix {
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

    /// Lets both nodes write and read undisturbed; all that was staged must be listed once.
    fn settle(&self) -> Result<(), String> {
        let mut world = self.clone();
        for _ in 0..6 {
            for node in 0..2 {
                world.take(Action::Write(node, Fate::Answered), Missing::Nothing)?;
                world.take(Action::Read(node), Missing::Nothing)?;
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
        // A chunk may repeat what another writer listed while it was on its way, but no reader
        // takes that.
        (all >= listed.len())
            .then_some(())
            .ok_or_else(|| "listed out of nothing".to_owned())
    }
}

/// Explores all states; returns how many there are, or the first violation.
fn explore(missing: Missing) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    while let Some(world) = queue.pop_front() {
        for action in World::actions() {
            let mut next = world.clone();
            if !next.take(action, missing)? {
                continue;
            }
            next.check()?;
            if seen.insert(format!("{next:?}")) {
                next.settle()?;
                assert!(
                    seen.len() < STATES_MAX,
                    "the space is larger than the bound"
                );
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_interleaving_lists_a_result_twice_elsewhere_or_never() {
    let states = explore(Missing::Nothing).expect("no violation");
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    let guards = [
        Missing::ConditionalCreate,
        Missing::Verification,
        Missing::Requeue,
    ];
    for guard in guards {
        assert!(explore(guard).is_err(), "{guard:?} is not needed");
    }
}
