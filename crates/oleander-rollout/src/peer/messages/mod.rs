//! Paths and JSON messages of the HTTP API of a dispatcher.

mod dispatcher_health;
mod item_outcomes;
mod job_caller;
mod known_versions;
mod leader_unreached;
mod load_work;
mod platform_update;
mod pull_request;
mod pull_response;
mod return_reason;
mod returned_item;
mod stream_query;
mod stream_record;
mod usage_receipt;
mod work_item;

pub use dispatcher_health::DispatcherHealth;
pub use item_outcomes::ItemOutcomes;
pub use job_caller::JobCaller;
pub use known_versions::KnownVersions;
pub use leader_unreached::LeaderUnreached;
pub use load_work::LoadWork;
pub use platform_update::PlatformUpdate;
pub use pull_request::PullRequest;
pub use pull_response::PullResponse;
pub use return_reason::ReturnReason;
pub use returned_item::ReturnedItem;
pub use stream_query::StreamQuery;
pub use stream_record::StreamRecord;
pub use usage_receipt::UsageReceipt;
pub use work_item::WorkItem;

/// Path to which an agent sends a [`PullRequest`], to report its state and wait for work.
pub const PULL: &str = "/pull";
/// Path to which an agent sends a [`PullRequest`] that is answered at once.
pub const REPORT: &str = "/report";
/// Path at which an entry waits for a [`PlatformUpdate`].
pub const PLATFORM_UPDATES: &str = "/news";
/// Path at which an entry asks any dispatcher for a newer configuration; the request is
/// [`KnownVersions`], the response a [`PlatformUpdate`].
pub const CONFIG_CHECK: &str = "/config-check";
/// Path to which an agent sends [`ItemOutcomes`].
pub const OUTCOMES: &str = "/hand-in";
/// Path of the [`DispatcherHealth`]; the request of an agent may be [`LeaderUnreached`].
pub const HEALTH: &str = "/health";
/// Path below which jobs are stored, read and ended.
pub const JOBS: &str = "/jobs/";
/// Path to which an entry sends a [`StreamRecord`].
pub const STREAM_BEGUN: &str = "/stream-begun";
/// Path to which an entry sends a [`StreamQuery`].
pub const STREAM_ORIGIN: &str = "/stream-origin";
/// Path to which an entry sends a [`UsageReport`](oleanderlock::duties::usage_report::UsageReport).
pub const USAGE_COUNTS: &str = "/usage-counts";
