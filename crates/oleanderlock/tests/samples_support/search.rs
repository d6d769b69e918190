//! Breadth-first search for the shortest trace to a violation.

use pathfinding::prelude::bfs;
use std::fmt;
use std::hash::{Hash, Hasher};

/// The outcome of an event: the next state, or the name of the invariant that it violates.
pub type Outcome<S> = Result<S, &'static str>;

/// The result of a search.
pub struct Search {
    /// Number of states whose successors were computed.
    pub states: usize,
    /// Greatest distance of these states from the start, in events.
    pub depth: u32,
    /// Whether every reachable state was expanded.
    pub exhausted: bool,
    /// The violated invariant with its shortest trace, if any.
    pub violation: Option<Violation>,
}

/// A violation of an invariant.
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Events from the first state on.
    pub trace: Vec<String>,
}

impl fmt::Display for Search {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            states,
            depth,
            exhausted,
            violation,
        } = self;
        write!(f, "states={states} depth={depth} exhausted={exhausted}")?;
        let Some(violation) = violation else {
            return write!(f, " violation=none");
        };
        write!(f, " violation=\"{}\"", violation.invariant)?;
        let numbered = violation.trace.iter().enumerate();
        numbered
            .into_iter()
            .try_for_each(|(i, event)| write!(f, "\n  {}. {event}", i + 1))
    }
}

#[derive(Clone)]
struct Node<S, E> {
    state: S,
    event: Option<E>,
    depth: u32,
    violated: Option<&'static str>,
}

impl<S: PartialEq, E> PartialEq for Node<S, E> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state && self.violated == other.violated
    }
}

impl<S: Eq, E> Eq for Node<S, E> {}

impl<S: Hash, E> Hash for Node<S, E> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Explores up to `limit` states from `start`; `next` returns the events of a state and their
/// outcomes.
pub fn search<S, E>(
    start: S,
    limit: usize,
    mut next: impl FnMut(S) -> Vec<(E, Outcome<S>)>,
) -> Search
where
    S: Copy + Eq + Hash,
    E: Copy + fmt::Debug,
{
    let mut search = Search {
        states: 0,
        depth: 0,
        exhausted: true,
        violation: None,
    };
    let first = Node {
        state: start,
        event: None,
        depth: 0,
        violated: None,
    };
    let successors = |node: &Node<S, E>| {
        if search.states >= limit {
            search.exhausted = false;
            return Vec::new();
        }
        search.states += 1;
        search.depth = search.depth.max(node.depth);
        let nodes = next(node.state).into_iter().map(|(event, outcome)| Node {
            state: *outcome.as_ref().unwrap_or(&node.state),
            event: Some(event),
            depth: node.depth + 1,
            violated: outcome.err(),
        });
        nodes.collect()
    };
    let path = bfs(&first, successors, |node| node.violated.is_some());
    search.violation = path.map(|path| Violation {
        invariant: path.last().and_then(|node| node.violated).unwrap_or("none"),
        trace: path
            .iter()
            .filter_map(|node| node.event)
            .map(|e| format!("{e:?}"))
            .collect(),
    });
    search
}
