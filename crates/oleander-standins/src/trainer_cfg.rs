//! Settings of a trainer stand-in.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of a trainer stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrainerCfg {
    /// Entries; the next one is asked when one fails.
    pub entries: Vec<SocketAddr>,
    /// Bearer token.
    pub token: Option<String>,
    /// Weight store to which a version is written before it is published.
    pub weights: Option<SocketAddr>,
    /// Name of the trainer.
    pub trainer: String,
    /// Model that it trains.
    pub model: String,
    /// Class of the contract for its samples.
    pub class: String,
    /// Number of the first step.
    pub first_step: u64,
    /// Steps to run.
    pub steps: u64,
    /// Prompt groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub samples_per_group: u32,
    /// Shortest sample in tokens.
    pub tokens_min: u64,
    /// Longest sample in tokens.
    pub tokens_max: u64,
    /// Exponent of the Pareto distribution of lengths; smaller has the heavier tail.
    pub tail: f64,
    /// Seed of the lengths.
    pub seed: u64,
    /// Time to train on a whole step, in milliseconds.
    pub pause_ms: u64,
    /// Version that the trainer has at first.
    pub version: u64,
    /// Most versions that a delivered sample may lag behind the trainer.
    pub staleness: u64,
    /// Publishes a version after each step.
    pub publish: bool,
    /// Longest wait of one pull, in milliseconds.
    pub wait_ms: u64,
}

impl Default for TrainerCfg {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            token: None,
            weights: None,
            trainer: "trainer".to_owned(),
            model: "model".to_owned(),
            class: "samples".to_owned(),
            first_step: 1,
            steps: 3,
            groups: 8,
            samples_per_group: 4,
            tokens_min: 16,
            tokens_max: 512,
            tail: 1.3,
            seed: 1,
            pause_ms: 200,
            version: 1,
            staleness: 1,
            publish: true,
            wait_ms: 1000,
        }
    }
}
