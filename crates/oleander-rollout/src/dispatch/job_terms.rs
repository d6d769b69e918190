//! Terms of batch jobs, by the route to which they were submitted.

use crate::prelude::*;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::routing::route_table::RouteTable;
use oleanderlock::workspaces::workspace::rank_of;

/// Failures after which an item of a job without a route is given up.
const ATTEMPTS_DEFAULT: u32 = 3;
/// Time within which the results of a job without a route are due.
const DUE_DEFAULT: Millis = Millis::from_secs(10);
/// Time after which items of a job without a route may be given up.
const KEEP_DEFAULT: Millis = Millis::from_secs(60);

/// Returns the terms of a job whose route is not known or was removed. It has no service, so that its items
/// wait.
pub(super) fn policy_without_route() -> JobPolicy {
    JobPolicy {
        targets: Vec::new(),
        attempts: ATTEMPTS_DEFAULT,
        due_after: DUE_DEFAULT,
        keep: KEEP_DEFAULT,
        single_version: true,
        rank: 0,
        workspace_rank: None,
    }
}

/// Returns the terms of jobs that are submitted to a host and path; `None` without a route.
pub(super) fn policy_by_route(
    routes: &RouteTable,
    host: &str,
    path: &str,
    workspace: Option<&str>,
) -> Option<JobPolicy> {
    let route = routes.find(host, path)?;
    // Without workspaces, priorities have no effect on jobs.
    let workspaces = routes.config.workspaces.as_deref();
    let workspace_rank = workspace.and_then(|name| rank_of(workspaces?, name));
    let route_rank = workspaces.map(|_| route.rank);
    Some(JobPolicy {
        targets: route.targets.clone(),
        attempts: route.attempts,
        due_after: route.run_objective,
        keep: route.keep,
        single_version: route.single_version,
        rank: workspace_rank.or(route_rank).unwrap_or_default(),
        workspace_rank,
    })
}
