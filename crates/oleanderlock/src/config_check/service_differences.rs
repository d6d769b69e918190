//! Differences of services.

use super::difference::Difference;
use super::difference_kind::DifferenceKind;
use super::differences::{of_number, of_value};
use crate::routing::deployment_config::DeploymentConfig;

/// Returns the differences of the services.
pub(super) fn of(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (name, after) in &new.services {
        let subject = format!("service `{name}`");
        let Some(before) = in_force.services.get(name) else {
            let text = "is defined";
            differences.push(Difference::new(DifferenceKind::Alters, &subject, text));
            continue;
        };
        let changes = [
            of_value(
                &subject,
                "health path",
                &before.health_path,
                &after.health_path,
            ),
            of_number(
                &subject,
                "connections to an endpoint",
                before.connections_max as u64,
                after.connections_max as u64,
            ),
            of_value(&subject, "scale", before.scale, after.scale),
        ];
        differences.extend(changes.into_iter().flatten());
    }
    for name in in_force.services.keys() {
        if !new.services.contains_key(name) {
            let subject = format!("service `{name}`");
            let text = "is no longer defined";
            differences.push(Difference::new(DifferenceKind::Alters, &subject, text));
        }
    }
    differences
}
