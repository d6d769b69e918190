//! Reasons for the recall of an item.

use strum::IntoStaticStr;

/// Why an item is recalled; logged in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RecallReason {
    /// Its engine is much slower than one with free slots.
    SlowEngine,
    /// It runs long, and a faster engine has a free slot.
    Straggler,
    /// It waits for a slot while another engine has a free one.
    NoSlot,
    /// It waits for a slot of a service to which its route no longer leads, or its route was removed.
    OtherService,
}
