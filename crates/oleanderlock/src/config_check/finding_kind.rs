//! Kind of a finding.

use serde::Serialize;
use strum::Display;

/// Kind of a finding, as it is printed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FindingKind {
    /// A part can't be decoded and would be left out.
    Unreadable,
    /// A part is replaced by a later one with the same name.
    Replaced,
    /// No request can match a route.
    NeverMatches,
    /// A target of a route gets no requests.
    NoWeight,
    /// A route leads to a service that the configuration does not define.
    UndefinedService,
    /// No client can use a workspace.
    NoKeys,
    /// Two workspaces have the same key.
    SharedKey,
    /// The goal of a route is above its timeout.
    GoalAboveTimeout,
    /// A route has more attempts than its timeout allows.
    AttemptsAboveTimeout,
    /// Items of a job may be given up before its results are due.
    KeepBelowDue,
    /// The fewest endpoints of a service are more than the most.
    MinAboveMax,
    /// The version in force is the same or a newer one.
    NotNewer,
}
