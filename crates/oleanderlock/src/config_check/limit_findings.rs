//! Findings about limits that contradict each other.

use super::config_places::{ConfigPlaces, place};
use super::finding::Finding;
use super::finding_kind::FindingKind;
use super::route_findings::finding;
use crate::routing::deployment_config::DeploymentConfig;
use crate::routing::route::Route;
use crate::routing::route_kind::RouteKind;

/// Returns the contradictions among the limits of a configuration.
pub(super) fn of(config: &DeploymentConfig, places: &ConfigPlaces) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in config.routes.iter().enumerate() {
        findings.extend(of_route(route, &place(&places.routes, index)));
    }
    for (index, (_, service)) in config.services.iter().enumerate() {
        let Some(scale) = service.scale.filter(|scale| scale.min > scale.max) else {
            continue;
        };
        let at = place(&places.services, index);
        let text = format!("min {} is above max {}", scale.min, scale.max);
        findings.push(finding(FindingKind::MinAboveMax, &at, "scale", text));
    }
    findings
}

fn of_route(route: &Route, at: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    let (goal, timeout) = (route.objective, route.timeout);
    if goal > timeout {
        let text = format!("goal {goal} is above timeout {timeout}");
        findings.push(finding(FindingKind::GoalAboveTimeout, at, "goal_ms", text));
    }
    // Without a goal of its own, the goal of a route is its timeout, and failed attempts may be short.
    let needed = u64::from(route.attempts).saturating_mul(goal.0);
    if goal < timeout && needed > timeout.0 {
        let text = format!(
            "{} attempts within a goal of {goal} each take longer than timeout {timeout}",
            route.attempts
        );
        findings.push(finding(
            FindingKind::AttemptsAboveTimeout,
            at,
            "attempts",
            text,
        ));
    }
    if route.kind == RouteKind::Rollout && route.keep < route.run_objective {
        let text = format!(
            "items may be given up after {}, before results are due after {}",
            route.keep, route.run_objective
        );
        findings.push(finding(FindingKind::KeepBelowDue, at, "keep_s", text));
    }
    findings
}
