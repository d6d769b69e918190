//! What a trainer asks for in one step.

use crate::trainer_cfg::TrainerCfg;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Length of a prompt in bytes; longer than the prefix that engines cache.
const PROMPT_BYTES: usize = 320;

/// One prompt with the lengths of its samples in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Prompt text.
    pub prompt: String,
    /// Tokens of each sample.
    pub lengths: Vec<u64>,
}

/// The body that opens a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepPlan {
    /// Class of the contract.
    pub class: String,
    /// Model that makes the samples.
    pub model: String,
    /// Version of the trainer when it opens the step.
    pub version: u64,
    /// Prompt groups.
    pub groups: Vec<Group>,
}

impl StepPlan {
    /// Plans step `step`; the same settings and step give the same prompts and lengths.
    pub fn new(cfg: &TrainerCfg, step: u64, version: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(cfg.seed ^ step.rotate_left(32));
        let groups = (0..cfg.groups).map(|group| plan_group(cfg, step, group, &mut rng));
        Self {
            class: cfg.class.clone(),
            model: cfg.model.clone(),
            version,
            groups: groups.collect(),
        }
    }

    /// How every prompt of a trainer begins.
    pub fn prompt_prefix(trainer: &str) -> String {
        format!("{trainer} step ")
    }

    /// Number of samples.
    pub fn slots(&self) -> usize {
        self.groups.iter().map(|group| group.lengths.len()).sum()
    }
}

fn plan_group(cfg: &TrainerCfg, step: u64, group: u32, rng: &mut StdRng) -> Group {
    let mut prompt = StepPlan::prompt_prefix(&cfg.trainer);
    prompt.push_str(&format!("{step} group {group} "));
    while prompt.len() < PROMPT_BYTES {
        prompt.push_str("planting advice ");
    }
    let lengths = (0..cfg.samples_per_group).map(|_| draw_length(cfg, rng));
    Group {
        prompt,
        lengths: lengths.collect(),
    }
}

/// Draws from a Pareto distribution that is cut at the longest length.
fn draw_length(cfg: &TrainerCfg, rng: &mut StdRng) -> u64 {
    let uniform = 1.0 - rng.random::<f64>();
    let length = cfg.tokens_min as f64 * uniform.powf(-1.0 / cfg.tail);
    (length as u64).clamp(cfg.tokens_min, cfg.tokens_max)
}
