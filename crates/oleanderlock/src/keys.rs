//! Small copyable keys.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Names one start of one process; a restarted process has a new one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Names one request of one caller; retries with one idempotency key share it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// Names one attempt of one request at one agent incarnation.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{request}/{attempt}@{incarnation}")]
pub struct Ticket {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Counts the attempts of the request from zero.
    pub attempt: u32,
    /// The only agent incarnation that may run the attempt.
    pub incarnation: Incarnation,
}

/// A weight version; greater is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Version(pub u64);

/// A fencing number; an order with a smaller one than the last accepted is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Fence(pub u64);

/// The number of an accepted amendment of one object; greater is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Generation(pub u64);

/// Names one sample of a training step.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{group}.{index}")]
pub struct SlotKey {
    /// The prompt group, counted from zero.
    pub group: u32,
    /// The sample within its group, counted from zero.
    pub index: u32,
}
