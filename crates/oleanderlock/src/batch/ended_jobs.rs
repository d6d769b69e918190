//! Ended jobs that have not been removed.

use super::job_state::JobState;
use crate::routing::route_target::RouteTarget;
use indexmap::IndexMap;

/// Ended jobs by id. They are apart from the open ones, and never walked: there are as many as were
/// submitted in minutes, and decisions are made with each report of an agent.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedJobs {
    jobs: IndexMap<String, JobState>,
    /// The different routes of the jobs of each model, with the number of jobs.
    routes: IndexMap<String, Vec<EndedRoute>>,
}

/// A route of ended jobs of a model.
#[derive(Clone, Debug)]
struct EndedRoute {
    targets: Vec<RouteTarget>,
    /// Number of the jobs.
    jobs: usize,
}

impl EndedJobs {
    /// Returns a job by id.
    pub fn get(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Adds a job that has ended.
    pub fn insert(&mut self, job: JobState) {
        let routes = self.routes.entry(job.model.clone()).or_default();
        let targets = &job.policy.targets;
        match routes.iter_mut().find(|route| route.targets == *targets) {
            Some(route) => route.jobs += 1,
            None => routes.push(EndedRoute {
                targets: targets.clone(),
                jobs: 1,
            }),
        }
        self.jobs.insert(job.id.clone(), job);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: &str) {
        let Some(job) = self.jobs.swap_remove(id) else {
            return;
        };
        let Some(routes) = self.routes.get_mut(&job.model) else {
            return;
        };
        for route in routes.iter_mut() {
            route.jobs -= usize::from(route.targets == job.policy.targets);
        }
        routes.retain(|route| route.jobs > 0);
        if routes.is_empty() {
            self.routes.swap_remove(&job.model);
        }
    }

    /// Returns the different routes of the jobs of a model.
    pub fn routes_of(&self, model: &str) -> impl Iterator<Item = &[RouteTarget]> {
        let routes = self.routes.get(model).into_iter().flatten();
        routes.map(|route| route.targets.as_slice())
    }
}
