//! One item of a batch job.

use super::score_call::ScoreCall;
use serde::{Deserialize, Serialize};

/// One item of a batch job: one sample to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id of the item, sent as the id of its request.
    pub id: String,
    /// Path of the request to the engine.
    pub path: String,
    /// Headers of the request to the engine, in order.
    pub headers: Vec<(String, String)>,
    /// Body of the request, in base64.
    pub body_base64: String,
    /// Tokens of the prompt and of the longest answer together.
    pub tokens: u64,
    /// The trainer's estimate of the number of tokens to be made, where it gives one.
    pub expected_tokens: Option<u64>,
    /// Group whose items share a prompt and count only together.
    pub group: String,
    /// The call that scores the text, where the job asks for scores.
    pub score_call: Option<ScoreCall>,
}
