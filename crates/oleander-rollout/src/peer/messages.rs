//! Paths and JSON messages of the HTTP API of a dispatcher.

use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::sample::Sample;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path to which an agent sends a [`PullRequest`], to report its state and wait for work.
pub const PULL: &str = "/pull";
/// Path to which an agent sends a [`PullRequest`] that is answered at once.
pub const REPORT: &str = "/report";
/// Path at which an entry waits for a [`PlatformUpdate`].
pub const PLATFORM_UPDATES: &str = "/news";
/// Path to which an agent sends [`ItemOutcomes`].
pub const OUTCOMES: &str = "/hand-in";
/// Path of the [`DispatcherHealth`].
pub const HEALTH: &str = "/health";
/// Path below which jobs are stored, read and ended.
pub const JOBS: &str = "/jobs/";

/// An item that an agent is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkItem {
    /// Job and id of the item.
    pub key: ItemKey,
    /// The request to run and the call that scores its text.
    pub item: JobItem,
    /// Host of the job's request, by which routes are found.
    pub host: String,
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
}

/// Weights that an agent is to make its engine load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWork {
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// The state of an agent, sent repeatedly; the response brings work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullRequest {
    /// State of the agent and its engine.
    pub report: AgentReport,
    /// Progress of its long runs since the last request.
    pub parts: Vec<RunPart>,
}

/// The response to a [`PullRequest`].
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
}

/// Versions of the configuration and of the endpoints that an agent or entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub config_version: u64,
    /// Digest of the endpoints; 0 for none.
    pub endpoints_digest: u64,
}

/// Parts of the platform's state that an agent or entry lacks or has in an older version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// The configuration in force; `None` if the receiver has this version.
    pub config: Option<DeploymentConfig>,
    /// Endpoints and the digest of all of them; `None` if the receiver has this digest. An agent
    /// gets its own engine and the endpoints of other services, an entry gets all.
    pub endpoints: Option<(Vec<EndpointEntry>, u64)>,
}

impl PlatformUpdate {
    /// Whether the receiver is up to date.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.endpoints.is_none()
    }
}

/// Why an agent returned an item without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReturnReason {
    /// The engine responded with an error to the run.
    EngineFailed,
    /// The engine is gone or draining, or the agent is stopping.
    EngineLost,
    /// The dispatcher recalled the item for another engine.
    Recalled,
    /// The weights of the engine are too old, or changed where a single version is required.
    TooOld,
    /// Scoring failed, but may succeed later.
    NoScore,
}

/// An item that an agent returned without a result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReturnedItem {
    /// Job and id of the item.
    pub key: ItemKey,
    /// Why the agent returned it.
    pub reason: ReturnReason,
    /// Progress of the run, from which the next one resumes; `None` to start again.
    pub progress: Option<Progress>,
}

/// Results of items and items that an agent returns without one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ItemOutcomes {
    /// Name of the agent.
    pub agent: String,
    /// Results of finished and given up items.
    pub samples: Vec<Sample>,
    /// Items that another agent is to run.
    pub returned: Vec<ReturnedItem>,
}

/// Health of a dispatcher, as standbys, entries and agents probe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherHealth {
    /// Whether it leads, or has won an epoch and is recovering.
    pub leads: bool,
    /// Epoch that it holds, or the newest one that it knows; 0 for none.
    pub epoch: u64,
    /// Time since its last successful call to the store, in milliseconds.
    pub store_age_ms: u64,
    /// Address of the leader, if it knows one.
    pub leader: Option<SocketAddr>,
}
