//! The items of one group.

/// The items of one group, by their place in the job.
#[derive(Clone, Debug, Default)]
pub struct GroupState {
    /// Places of the items.
    pub items: Vec<usize>,
}
