//! Breadth-first exploration of a state space, with the shortest trace to a violation.

use indexmap::IndexSet;
use pathfinding::directed::bfs::bfs;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Stores each distinct value once, so that a state consists of a few small indices.
pub struct Pool<T>(IndexSet<Rc<T>>);

impl<T: Eq + Hash> Pool<T> {
    pub fn new() -> Self {
        Self(IndexSet::new())
    }

    pub fn put(&mut self, value: Rc<T>) -> u32 {
        self.0.insert_full(value).0 as u32
    }

    pub fn get(&self, id: u32) -> Rc<T> {
        Rc::clone(&self.0[id as usize])
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// A state with its distance from the start, which is ignored by equality.
#[derive(Clone, Copy, Debug)]
pub struct Node<S> {
    pub state: S,
    pub depth: u16,
    pub violated: Option<&'static str>,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state && self.violated == other.violated
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// One transition of a model.
pub struct Step<S> {
    pub label: String,
    pub state: S,
    pub violated: Option<&'static str>,
}

/// What an exploration found.
#[derive(Debug)]
pub struct Found {
    pub states: usize,
    pub depth: u16,
    pub exhausted: bool,
    pub violated: Option<&'static str>,
    pub trace: Vec<String>,
}

impl Found {
    /// Returns why the exploration ended.
    pub const fn end(&self) -> &'static str {
        match (self.violated, self.exhausted) {
            (Some(_), _) => "stopped at a violation",
            (None, true) => "exhausted",
            (None, false) => "stopped at the bound",
        }
    }
}

/// Explores breadth-first until a violation is found, `limit` states are expanded, or no state is
/// left.
pub fn explore<S, F>(start: S, limit: usize, mut steps: F) -> Found
where
    S: Clone + Eq + Hash + Debug,
    F: FnMut(&S, bool) -> Vec<Step<S>>,
{
    let start = Node {
        state: start,
        depth: 0,
        violated: None,
    };
    let mut states = 0;
    let mut depth = 0;
    let expand = |node: &Node<S>| {
        if states == limit {
            return Vec::new();
        }
        states += 1;
        depth = depth.max(node.depth);
        let next = |step: Step<S>| Node {
            state: step.state,
            depth: node.depth + 1,
            violated: step.violated,
        };
        steps(&node.state, false).into_iter().map(next).collect()
    };
    let path = bfs(&start, expand, |node| node.violated.is_some());
    let path = path.unwrap_or_default();
    let trace = path.windows(2).map(|pair| {
        let same =
            |step: &Step<S>| step.state == pair[1].state && step.violated == pair[1].violated;
        let step = steps(&pair[0].state, true).into_iter().find(same);
        step.map_or_else(String::new, |step| step.label)
    });
    Found {
        trace: trace.collect(),
        violated: path.last().and_then(|node| node.violated),
        exhausted: states < limit && path.is_empty(),
        states,
        depth,
    }
}

/// Returns the peak resident memory of this process, in MiB.
pub fn peak_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) / 1024
}
