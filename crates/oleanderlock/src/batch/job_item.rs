//! One item of a batch job.

use super::score_call::ScoreCall;
use serde::{Deserialize, Serialize};

/// One item of a batch job: the request that generates one sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id of the item within its job; also the id of its request.
    pub id: String,
    /// Path of the request to the engine.
    pub path: String,
    /// Headers of the request to the engine, in order.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the engine, in base64.
    pub body_base64: String,
    /// Tokens of the prompt plus the limit of generated tokens.
    pub tokens: u64,
    /// The trainer's estimate of the tokens that will be generated, if it gives one.
    pub expected_tokens: Option<u64>,
    /// Group of the item. The items of a group share a prompt and count only if all of them finish.
    pub group: String,
    /// The call that scores the generated text; `None` if the job asks for no scores.
    pub score_call: Option<ScoreCall>,
}

/// Approximate memory of an item and its state besides its texts, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 600;

impl JobItem {
    /// Returns the approximate memory that the item takes while its job is open, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        let score = self.score_call.as_ref().map_or(0, ScoreCall::size_bytes);
        let texts = self.id.len() + self.path.len() + self.body_base64.len() + self.group.len();
        texts + headers + score + ITEM_OVERHEAD_BYTES
    }
}
