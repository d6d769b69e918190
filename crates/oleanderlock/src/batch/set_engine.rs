//! An engine, as the sets of engines see it.

use indexmap::IndexSet;

/// An engine that is to belong to the set of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SetEngine {
    /// Models whose weights it holds.
    pub models: IndexSet<String>,
    /// The model whose version is least behind; `None` if it holds none.
    pub least_outdated: Option<String>,
    /// Whether it takes work.
    pub takes_work: bool,
}
