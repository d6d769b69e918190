//! Why an item should move.

use strum::IntoStaticStr;

/// Why an item should move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RecallReason {
    /// Its engine is much slower than one with free slots.
    SlowEngine,
    /// Its engine is emptied for a load.
    Load,
    /// It waits for a slot while another engine has one free.
    NoSlot,
}
