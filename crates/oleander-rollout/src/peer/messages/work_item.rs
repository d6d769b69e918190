//! An item of a job that an agent is to run.

use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::progress::Progress;
use serde::{Deserialize, Serialize};

/// An item that an agent is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkItem {
    /// Job and id of the item.
    pub key: ItemKey,
    /// The request to run and the call that scores its text.
    pub item: JobItem,
    /// Host header of the request to the engine: that of the request that submitted the job.
    pub host: String,
    /// Path to which the job was submitted, which with the host selects its route; empty from an earlier
    /// build, whose agents went by the path of the item.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub job_path: String,
    /// Model that must generate the text.
    pub model: String,
    /// Oldest weight version that may generate it.
    pub oldest_version: u64,
    /// Whether a single weight version must generate the whole text.
    pub single_version: bool,
    /// Failures after which the scoring call is given up.
    pub score_attempts: u32,
    /// Progress of an earlier run that was interrupted; the run resumes after its last event.
    pub progress: Option<Progress>,
    /// Workspace that submitted the job, which the engine is told; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// Priority of the workspace, which the engine is told; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
}
