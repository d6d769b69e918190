//! The calls of a stream, planned before the run.

use crate::arrivals;
use crate::stream_cfg::{StreamCfg, StreamTarget};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Length of a shared prompt prefix in bytes; more than engines hash.
const PREFIX_BYTES: usize = 288;

/// What one call asks for, as the records of the endpoints show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A completion; the prompt is unique.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Tokens of the whole answer.
        tokens: u64,
    },
    /// A call of a plain service; the body is unique.
    Service {
        /// Body text.
        body: String,
    },
}

/// One planned call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Intended send time, in microseconds since the start.
    pub at_us: u64,
    /// What it asks for.
    pub work: Work,
}

/// Plans all calls of a stream; the same seed gives the same calls.
pub fn plan(cfg: &StreamCfg, per_second: f64, length_us: u64, seed: u64) -> Vec<PlannedCall> {
    let times = arrivals::times(cfg.arrivals, per_second, length_us, seed);
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(17));
    let calls = times
        .into_iter()
        .enumerate()
        .map(|(number, at_us)| PlannedCall {
            at_us,
            work: work(cfg, number, &mut rng),
        });
    calls.collect()
}

fn work(cfg: &StreamCfg, number: usize, rng: &mut StdRng) -> Work {
    let id = format!("{}/{number}", cfg.name);
    match &cfg.target {
        StreamTarget::Completion {
            tokens_min,
            tokens_max,
            prefixes,
            ..
        } => {
            let prefix = rng.random_range(0..(*prefixes).max(1));
            Work::Completion {
                prompt: prompt(prefix, &id),
                tokens: rng.random_range(*tokens_min..=*tokens_max),
            }
        }
        StreamTarget::Service { .. } => Work::Service {
            body: json!({ "id": id }).to_string(),
        },
    }
}

fn prompt(prefix: u32, id: &str) -> String {
    let mut prompt = format!("prefix {prefix} ");
    while prompt.len() < PREFIX_BYTES {
        prompt.push_str("seedling availability ");
    }
    prompt.push_str(id);
    prompt
}
