//! Check of a configuration before it is published: what in it can never take effect, limits that
//! contradict each other, and what it changes for callers. Nothing here shows a key.

pub mod config_places;
pub mod difference;
pub mod difference_kind;
pub mod differences;
pub mod finding;
pub mod finding_kind;
mod limit_findings;
mod route_differences;
mod route_findings;
mod service_differences;
mod workspace_differences;
mod workspace_findings;

use crate::routing::deployment_config::DeploymentConfig;
use config_places::ConfigPlaces;
use finding::Finding;

/// Returns what is wrong with a configuration whose parts are at `places` of its file.
pub fn findings(config: &DeploymentConfig, places: &ConfigPlaces) -> Vec<Finding> {
    let mut findings = route_findings::of(config, places);
    findings.extend(limit_findings::of(config, places));
    findings.extend(workspace_findings::of(config, places));
    findings
}
