//! A batch job as a trainer submitted it.

use super::job_item::JobItem;
use serde::{Deserialize, Serialize};

/// A batch job as a trainer submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path to which it was submitted.
    pub path: String,
    /// Unix time of the submission in milliseconds.
    pub submitted_unix_ms: u64,
    /// Training step that the samples are for, if the trainer gave one.
    pub step: Option<u64>,
    /// Model whose engines run the items.
    pub model: String,
    /// Oldest weight version that may generate its tokens.
    pub oldest_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub groups_wanted: usize,
    /// The items, in the order of the submission.
    pub items: Vec<JobItem>,
    /// Workspace that submitted it; `None` without workspaces, and in jobs of builds that knew none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
}
