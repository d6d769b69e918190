//! A submitted job and its results, as clients observed them.

use serde_json::Value;
use std::time::Instant;

/// A submitted job and its results, as clients observed them.
#[derive(Clone, Debug)]
pub struct KnownJob {
    /// Body that was submitted.
    pub body: Value,
    /// Time at which an attempt was answered with 202.
    pub accepted: Option<Instant>,
    /// Whether every attempt so far was refused, so that no item may run.
    pub refused: bool,
    /// Results in order, each with the time at which it was first seen.
    pub results: Vec<(Value, Instant)>,
}
