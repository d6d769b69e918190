//! How often each piece of work truly ran, by the records of the endpoints.

use crate::run::RunResult;
use crate::stream_plan::Work;
use indexmap::IndexMap;

/// Runs by prompt or body, which are unique for each call.
#[derive(Clone, Debug, Default)]
pub struct RanCounts {
    prompts: IndexMap<String, u64>,
    bodies: IndexMap<String, u64>,
}

impl RanCounts {
    /// Counts the runs of a whole experiment.
    pub fn of(result: &RunResult) -> Self {
        let mut counts = Self::default();
        for run in result.engines.iter().flat_map(|engine| &engine.runs) {
            *counts.prompts.entry(run.prompt.clone()).or_default() += 1;
        }
        for run in result.services.iter().flat_map(|service| &service.runs) {
            *counts.bodies.entry(run.body.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns how often the work started.
    pub fn runs(&self, work: &Work) -> u64 {
        let count = match work {
            Work::Completion { prompt, .. } => self.prompts.get(prompt),
            Work::Service { body } => self.bodies.get(body),
        };
        count.copied().unwrap_or_default()
    }
}
