//! Differences of routes, which are the same if they match the same host and prefix.

use super::difference::Difference;
use super::difference_kind::DifferenceKind;
use super::differences::{of_number, of_value};
use crate::routing::deployment_config::DeploymentConfig;
use crate::routing::route::Route;
use crate::routing::route_kind::RouteKind;
use crate::routing::route_table::RouteTable;

/// Returns the differences of the routes.
pub(super) fn of(in_force: &DeploymentConfig, new: &DeploymentConfig) -> Vec<Difference> {
    let tables = (
        RouteTable::new(in_force.clone()),
        RouteTable::new(new.clone()),
    );
    let mut differences = Vec::new();
    for route in effective(new) {
        match effective(in_force).find(|before| is_same(before, route)) {
            Some(before) => differences.extend(of_route(before, route, in_force, new)),
            None => differences.push(added(route, &tables.0)),
        }
    }
    for route in effective(in_force) {
        if !effective(new).any(|after| is_same(after, route)) {
            differences.push(removed(route, &tables.1));
        }
    }
    differences
}

/// Returns the routes that requests can match, without those behind an equal one.
fn effective(config: &DeploymentConfig) -> impl Iterator<Item = &Route> {
    let routes = &config.routes;
    routes.iter().enumerate().filter_map(|(index, route)| {
        let hidden = routes[..index].iter().any(|first| is_same(first, route));
        (!hidden).then_some(route)
    })
}

fn is_same(one: &Route, other: &Route) -> bool {
    one.host == other.host && one.path_prefix == other.path_prefix
}

fn subject(route: &Route) -> String {
    format!(
        "route `{}` ({}{})",
        route.name, route.host, route.path_prefix
    )
}

fn added(route: &Route, before: &RouteTable) -> Difference {
    let subject = subject(route);
    match before.find(&route.host, &route.path_prefix) {
        Some(shorter) => {
            let text = format!("its requests matched route `{}` before", shorter.name);
            Difference::new(DifferenceKind::Moves, &subject, text)
        }
        None => Difference::new(
            DifferenceKind::Opens,
            &subject,
            "its requests matched no route before",
        ),
    }
}

fn removed(route: &Route, after: &RouteTable) -> Difference {
    let subject = subject(route);
    match after.find(&route.host, &route.path_prefix) {
        Some(shorter) => {
            let text = format!("is removed; its requests match route `{}`", shorter.name);
            Difference::new(DifferenceKind::Moves, &subject, text)
        }
        None => Difference::new(
            DifferenceKind::Closes,
            &subject,
            "is removed; its requests match no route",
        ),
    }
}

fn of_route(
    before: &Route,
    after: &Route,
    in_force: &DeploymentConfig,
    new: &DeploymentConfig,
) -> Vec<Difference> {
    let subject = subject(after);
    let at = subject.as_str();
    let mut all = vec![
        of_value(at, "name", &before.name, &after.name),
        of_value(at, "kind", before.kind, after.kind),
        of_number(at, "timeout in ms", before.timeout.0, after.timeout.0),
        of_value(at, "goal in ms", before.objective.0, after.objective.0),
        of_number(
            at,
            "attempts",
            before.attempts.into(),
            after.attempts.into(),
        ),
        of_value(at, "priority (0 is first)", before.rank, after.rank),
        of_value(
            at,
            "interrupted streams may resume",
            before.resumable,
            after.resumable,
        ),
    ];
    if after.kind == RouteKind::Rollout {
        all.extend([
            of_value(
                at,
                "results due in ms",
                before.run_objective.0,
                after.run_objective.0,
            ),
            of_number(at, "items are kept, in ms", before.keep.0, after.keep.0),
            of_value(
                at,
                "one weight version for each sample",
                before.single_version,
                after.single_version,
            ),
        ]);
    }
    if shares(before) != shares(after) {
        let text = format!("targets: {} -> {}", shares(before), shares(after));
        all.push(Some(Difference::new(DifferenceKind::Moves, at, text)));
    }
    // While both configurations have workspaces; else, all routes change in the same way.
    if in_force.workspaces.is_some() && new.workspaces.is_some() {
        all.push(match (before.public, after.public) {
            (true, false) => Some(Difference::new(
                DifferenceKind::Closes,
                at,
                "needs a key: requests without one get 401",
            )),
            (false, true) => Some(Difference::new(
                DifferenceKind::Opens,
                at,
                "needs no key: endpoints get no workspace with its requests",
            )),
            _ => None,
        });
    }
    all.into_iter().flatten().collect()
}

/// Returns the services of a route that get requests, with their weights.
fn shares(route: &Route) -> String {
    let targets = route.targets.iter();
    let mut weighted: Vec<String> = targets
        .filter(|target| target.weight > 0)
        .map(|target| format!("{} {}", target.service, target.weight))
        .collect();
    if weighted.is_empty() {
        let first = route.targets.first();
        weighted.extend(first.map(|target| target.service.clone()));
    }
    weighted.join(", ")
}
