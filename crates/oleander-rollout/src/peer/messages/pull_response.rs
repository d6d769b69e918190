//! The response to the report of an agent.

use super::LoadWork;
use super::PlatformUpdate;
use super::WorkItem;
use serde::{Deserialize, Serialize};

/// The response to a [`PullRequest`](super::PullRequest).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// Items to run.
    pub work: Vec<WorkItem>,
    /// Items to drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items to return with their progress, as `JOB/ITEM`, so that a faster engine resumes them.
    pub recall: Vec<String>,
    /// Items to return if they still wait for a slot, as `JOB/ITEM`.
    pub recall_waiting: Vec<String>,
    /// Runs to report in full with the next request, as `JOB/ITEM`, because the leader lacks their
    /// first events.
    #[serde(rename = "tell_whole")]
    pub resend_full: Vec<String>,
    /// Weights to load now.
    pub load: Option<LoadWork>,
    /// Configuration and endpoints, if the agent's are out of date.
    #[serde(rename = "news")]
    pub platform_update: PlatformUpdate,
    /// When the leader last knew all ends of jobs, in milliseconds after the arrival of the request; `None`
    /// if it doesn't know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_confirmed_ms: Option<i64>,
}
