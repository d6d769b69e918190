//! A batch job as a trainer submitted it.

use serde::{Deserialize, Serialize};

/// The call that scores the text of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreCall {
    /// Id of the call, sent as the id of its request.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path of the call.
    pub path: String,
    /// Body, in base64.
    pub body_base64: String,
}

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

/// A batch job as a trainer submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path under which it was submitted.
    pub path: String,
    /// Unix time of the submission in milliseconds.
    pub submitted_unix_ms: u64,
    /// Training step, when a trainer submitted it.
    pub step: Option<u64>,
    /// Model whose engines run the items.
    pub model: String,
    /// Oldest weight version that may make its tokens.
    pub oldest_version: u64,
    /// Groups that the trainer waits for.
    pub groups_wanted: usize,
    /// The items, in the order of the submission.
    pub items: Vec<JobItem>,
}
