//! All kinds of errors that callers, agents and operators can get.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Why a request was refused or failed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The content type is not the one that the path requires.
    WrongContentType,
    /// The request has no valid token.
    Unauthorized,
    /// There is no model or service with the requested name.
    UnknownTarget,
    /// No contract covers the request.
    NoContract,
    /// There is no object, step or path with the requested name.
    NotFound,
    /// Another change was accepted first.
    Conflict,
    /// The expected wait exceeds the time until the deadline, or a queue or table is
    /// full.
    Overloaded,
    /// The class has used its share of the endpoint while other classes have queued work.
    ShareExhausted,
    /// The deadline passed before the work started.
    DeadlineBeforeStart,
    /// The deadline passed while the work ran.
    DeadlineWhileRunning,
    /// No available endpoint serves the target.
    NoEndpoint,
    /// The endpoint is draining and accepts no new work.
    Leaving,
    /// The weight version of the engine is unknown.
    Quarantined,
    /// The ticket is for another incarnation of the agent, which has restarted.
    WrongIncarnation,
    /// The request was cancelled or buried before it started.
    Cancelled,
    /// The endpoint closed the connection or sent an invalid answer.
    EndpointFailed,
    /// The connection to the agent broke after the request was sent.
    AgentLost,
    /// A request with the same idempotency key is running.
    KeyInProgress,
    /// The idempotency key was already used for another request.
    KeyReused,
    /// The request needs the platform's store, which is not available.
    StoreUnavailable,
    /// The retry budget is spent.
    RetryBudget,
    /// The order has an old fencing token.
    OldFence,
    /// The process is shutting down.
    ShuttingDown,
    /// A bug in oleanderlock.
    Internal,
}
