//! Identifiers and version numbers that are shared by all parts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies one run of a process; a restarted process has a new one.
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

/// Identifies one request of one caller; calls with the same idempotency key share it.
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

/// Identifies one attempt of one request at one agent incarnation.
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
    /// Number of the attempt within the request. Consecutive, from 0 or, for requests with an
    /// idempotency key, from a random number.
    pub attempt: u32,
    /// The only agent incarnation that may run the attempt.
    pub incarnation: Incarnation,
}

/// Version of model weights; greater is newer.
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

/// Fencing token of an order; receivers refuse orders with a smaller one than the last accepted.
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

/// Number of accepted changes of one object; greater is newer.
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

/// Identifies one sample of a training step.
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
    /// Index of the prompt group, from 0.
    pub group: u32,
    /// Index of the sample within its group, from 0.
    pub index: u32,
}
