//! Differences of a configuration from the one in force.

use super::difference::Difference;
use super::difference_kind::DifferenceKind;
use super::finding::Finding;
use super::finding_kind::FindingKind;
use super::{route_differences, service_differences, workspace_differences};
use crate::routing::deployment_config::DeploymentConfig;

/// Returns the differences of `new` from the configuration that is in force.
pub fn differences(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Vec<Difference> {
    let mut differences = route_differences::of(in_force, new);
    differences.extend(service_differences::of(in_force, new));
    differences.extend(workspace_differences::of(in_force, new));
    differences.extend(of_limits(in_force, new));
    differences
}

/// Returns the finding that a changed configuration would not replace the one in force, because its
/// version is not newer.
pub fn version_finding(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Option<Finding> {
    let is_ignored = new.version <= in_force.version && new != in_force;
    is_ignored.then(|| Finding {
        kind: FindingKind::NotNewer,
        place: "version".to_owned(),
        text: format!(
            "{} does not replace version {}, which is in force",
            new.version, in_force.version
        ),
    })
}

fn of_limits(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Vec<Difference> {
    let (before, after) = (&in_force.limits, &new.limits);
    let numbers = [
        (
            "head of a request, in bytes",
            before.header_bytes as u64,
            after.header_bytes as u64,
        ),
        (
            "body of a request, in bytes",
            before.body_bytes as u64,
            after.body_bytes as u64,
        ),
        (
            "time for a head, in ms",
            before.header_time.0,
            after.header_time.0,
        ),
        (
            "idle time of a connection, in ms",
            before.idle_time.0,
            after.idle_time.0,
        ),
    ];
    let changed = numbers.into_iter();
    changed
        .filter_map(|(what, before, after)| of_number("limits", what, before, after))
        .collect()
}

/// Returns the difference between two numbers, of which the higher one is the better for callers.
pub(super) fn of_number(subject: &str, what: &str, before: u64, after: u64) -> Option<Difference> {
    let kind = match after.cmp(&before) {
        std::cmp::Ordering::Equal => return None,
        std::cmp::Ordering::Greater => DifferenceKind::Widens,
        std::cmp::Ordering::Less => DifferenceKind::Narrows,
    };
    Some(Difference::new(
        kind,
        subject,
        format!("{what}: {before} -> {after}"),
    ))
}

/// Returns the difference between two values that are no limits.
pub(super) fn of_value<T: PartialEq + std::fmt::Debug>(
    subject: &str,
    what: &str,
    before: T,
    after: T,
) -> Option<Difference> {
    let text = || format!("{what}: {before:?} -> {after:?}");
    (before != after).then(|| Difference::new(DifferenceKind::Alters, subject, text()))
}
