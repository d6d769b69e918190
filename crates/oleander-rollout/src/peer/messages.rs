//! Messages between agents, entries and dispatchers.

use oleanderlock::batch::agent_state::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::JobItem;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::sample::Sample;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path at which an agent reports on itself and waits for work.
pub const PULL: &str = "/pull";
/// Path at which an agent reports a change without waiting.
pub const REPORT: &str = "/report";
/// Path at which an entry waits for a [`PlatformUpdate`].
pub const PLATFORM_UPDATES: &str = "/news";
/// Path to which an agent sends [`ItemOutcomes`].
pub const OUTCOMES: &str = "/hand-in";
/// Path at which a dispatcher says how it stands.
pub const HEALTH: &str = "/health";
/// Path below which jobs are read and ended.
pub const JOBS: &str = "/jobs/";

/// An item that an agent is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkItem {
    /// The item.
    pub key: ItemKey,
    /// What to run.
    pub item: JobItem,
    /// Host that the request names.
    pub host: String,
    /// Model whose weights make the text.
    pub model: String,
    /// Oldest weight version that may make it.
    pub oldest_version: u64,
    /// Whether one version must make the whole of it.
    pub single_version: bool,
    /// Failures after which a scoring call is given up.
    pub score_attempts: u32,
    /// Where to go on, when an earlier run was interrupted.
    pub progress: Option<Progress>,
}

/// A load of weights that an agent is to order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWork {
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// A report of an agent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullRequest {
    /// What it says of itself and its engine.
    pub report: AgentReport,
    /// What its long runs have made since the last report.
    pub parts: Vec<RunPart>,
}

/// The response to a [`PullRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// Items to run.
    pub work: Vec<WorkItem>,
    /// Items to drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items to give back with what was made, so that a faster engine goes on with them.
    pub recall: Vec<String>,
    /// Items to give back if they still wait for a slot, as `JOB/ITEM`.
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

/// Why an item came back without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReturnReason {
    /// The engine answered the run with a failure.
    EngineFailed,
    /// The engine is gone or leaving, or the agent is stopping.
    EngineLost,
    /// The dispatcher recalled it, for another engine.
    Recalled,
    /// The engine's weights are too old.
    TooOld,
    /// The score could not be had, but may be later.
    NoScore,
}

/// An item that came back without a result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReturnedItem {
    /// The item.
    pub key: ItemKey,
    /// Why it came back.
    pub reason: ReturnReason,
    /// What the run has made.
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

/// How a dispatcher stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherHealth {
    /// Whether it leads, or reads the store in order to.
    pub leads: bool,
    /// Epoch in which it leads, or the newest that it knows.
    pub epoch: u64,
    /// Time since the store last answered it, in milliseconds.
    pub store_age_ms: u64,
    /// Address of the leader that it knows.
    pub leader: Option<SocketAddr>,
}
