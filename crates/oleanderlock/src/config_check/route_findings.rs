//! Findings about routes and their targets.

use super::config_places::{ConfigPlaces, place};
use super::finding::Finding;
use super::finding_kind::FindingKind;
use crate::routing::deployment_config::DeploymentConfig;
use crate::routing::route::Route;
use std::collections::HashMap;

/// Returns what is wrong with the routes of a configuration.
pub(super) fn of(config: &DeploymentConfig, places: &ConfigPlaces) -> Vec<Finding> {
    let mut findings = places.replaced.clone();
    let mut first_at: HashMap<(&str, &str), usize> = HashMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        let at = place(&places.routes, index);
        let pattern = (route.host.as_str(), route.path_prefix.as_str());
        let first = *first_at.entry(pattern).or_insert(index);
        if first != index {
            let text = format!(
                "route `{}` comes first, which has the same host and prefix",
                config.routes[first].name
            );
            findings.push(finding(FindingKind::NeverMatches, &at, "path_prefix", text));
        } else if !route.path_prefix.is_empty() && !route.path_prefix.starts_with('/') {
            let text = format!("no path starts with `{}`", route.path_prefix);
            findings.push(finding(FindingKind::NeverMatches, &at, "path_prefix", text));
        }
        findings.extend(of_targets(config, route, &at));
    }
    findings
}

fn of_targets(config: &DeploymentConfig, route: &Route, at: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    let has_weight = route.targets.iter().any(|target| target.weight > 0);
    for (index, target) in route.targets.iter().enumerate() {
        if !config.services.contains_key(&target.service) {
            let text = format!("no service `{}` is defined", target.service);
            findings.push(finding(FindingKind::UndefinedService, at, "service", text));
        }
        if target.weight > 0 {
            continue;
        }
        let text = if has_weight || index > 0 {
            format!("service `{}` gets no requests", target.service)
        } else {
            format!(
                "service `{}` gets all requests, since no target has a weight",
                target.service
            )
        };
        findings.push(finding(FindingKind::NoWeight, at, "split", text));
    }
    findings
}

/// Returns a finding about a field of the part at `at`.
pub(super) fn finding(kind: FindingKind, at: &str, field: &str, text: String) -> Finding {
    Finding {
        kind,
        place: format!("{at}.{field}"),
        text,
    }
}
