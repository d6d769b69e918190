//! Assignment of waiting items to agents.
//!
//! Load pattern: each trainer submits a step of groups every few seconds and waits for nine tenths
//! of them; a group counts only when the results of all of its items are listed in time, that is,
//! have a position in the [result log](super::result_log) from which the trainer reads them.
//!
//! Jobs are served in the order of their due times. Within a job the items with the most expected
//! tokens start first, each on the least loaded engine of the lowest latency class. Items of one
//! group may go to different engines: an engine prefills a shared prompt of a thousand tokens in
//! the time that it takes to generate a few tokens, so splitting a group costs less than waiting.
//!
//! Load pattern: engines crash during a release, and the engines of their software version are full
//! while others have free slots. Items that are about to complete wait for a slot of their version.

use super::agent_state::AgentState;
use super::assignment::Assignment;
use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::job_state::JobState;
use super::progress::Progress;
use super::scheduler::Scheduler;
use crate::prelude::*;

/// Fewest events for which an item waits for an engine of the software version that has made them.
const LONG_PROGRESS_EVENTS: u64 = 16;
/// Longest such wait; the slots of an engine become free much sooner.
const VERSION_WAIT_MAX: Millis = Millis(1000);
/// Latency classes by which an engine of another model's set must be faster to be chosen.
const OTHER_SET_PENALTY_CLASSES: u32 = 3;

impl Scheduler {
    /// Assigns waiting items to agents that have capacity for them.
    pub fn assign(&mut self, now: Millis) -> Vec<Assignment> {
        let mut order: Vec<usize> = (0..self.jobs.len()).collect();
        order.sort_by_key(|index| {
            let job = &self.jobs[*index];
            (job.due(), job.policy.rank)
        });
        let mut assigned = Vec::new();
        for index in order {
            for rank in 0..self.jobs[index].longest_first.len() {
                let item_index = self.jobs[index].longest_first[rank];
                if !self.jobs[index].may_start(item_index, now) {
                    continue;
                }
                let waits = self.waits_for_version(now, index, item_index);
                match self.choose_agent(now, &self.jobs[index], item_index, waits) {
                    Some(name) => assigned.push(self.assign_item(now, index, item_index, name)),
                    None if waits || self.jobs[index].policy.targets.len() > 1 => {}
                    None => break,
                }
            }
        }
        assigned
    }

    /// Whether an item rather waits for an engine of the software version that has begun it than
    /// starts again at another one.
    fn waits_for_version(&mut self, now: Millis, job_index: usize, item_index: usize) -> bool {
        let job = &mut self.jobs[job_index];
        let item = &mut job.items[item_index];
        let Some(progress) = &item.progress else {
            return false;
        };
        if progress.last_event < LONG_PROGRESS_EVENTS || !progress.is_fresh(job.oldest_version) {
            return false;
        }
        let limit = now.plus(VERSION_WAIT_MAX);
        let until = *item.version_wait_until.get_or_insert(limit);
        if now >= until {
            return false;
        }
        let software = progress.software.clone();
        let job = &self.jobs[job_index];
        self.agents.values().any(|agent| {
            agent.report.software == software && agent.report.slots > 0 && agent.may_run(now, job)
        })
    }

    fn assign_item(
        &mut self,
        now: Millis,
        job_index: usize,
        item_index: usize,
        name: String,
    ) -> Assignment {
        self.jobs[job_index].items[item_index].version_wait_until = None;
        let only_software = self.only_software_of(&self.jobs[job_index].model);
        let job = &mut self.jobs[job_index];
        let oldest = job.oldest_version;
        let item = &mut job.items[item_index];
        item.phase = ItemPhase::Running {
            agent: name.clone(),
        };
        let progress = item.progress.take().map(|progress| Progress {
            software: progress.software.or(only_software),
            ..progress
        });
        let key = ItemKey {
            job: job.id.clone(),
            item: item.item.id.clone(),
        };
        let mut software = None;
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.assigned.insert(key.clone(), now);
            software = agent.report.software.as_deref();
        }
        let usable =
            |progress: &Progress| progress.is_fresh(oldest) && progress.may_resume_at(software);
        Assignment {
            agent: name,
            key,
            item: item.item.clone(),
            progress: progress.filter(usable),
        }
    }

    /// Returns the software version of the engines that hold a model, as far as it is known; `None` if
    /// there are several.
    ///
    /// An earlier build of this program has not stored with the progress of a run which version has
    /// generated it.
    fn only_software_of(&self, model: &str) -> Option<String> {
        let reports = self.agents.values().map(|agent| &agent.report);
        let holders = reports.filter(|report| report.weights.contains_key(model));
        let mut known = holders.filter_map(|report| report.software.as_ref());
        let first = known.next()?;
        known.all(|other| other == first).then(|| first.clone())
    }

    /// Returns the service of the route that is to run an item; `None` if any of them may, because there
    /// is one only, or no engine of the service that the weights give could run it now.
    fn service_of<'a>(&self, now: Millis, job: &'a JobState, item: &str) -> Option<&'a str> {
        if job.policy.targets.len() < 2 {
            return None;
        }
        let service = job.policy.service_of(item)?;
        let mut agents = self.agents.values();
        let is_there = agents.any(|agent| {
            agent.report.service.as_deref() == Some(service)
                && agent.report.slots > 0
                && agent.may_run(now, job)
        });
        is_there.then_some(service)
    }

    /// Returns the agent that is expected to finish an item of a job first. The agent that has
    /// returned the item is only chosen if no other one has capacity: its engine may hang on the
    /// item again. An engine of another software version than the one that has begun the item would
    /// start again, and is chosen if no engine of that version has capacity, unless the item `waits`
    /// for one. On a route with several services, the item gets the one that its weights give, unless
    /// no engine of that service could run it.
    fn choose_agent(
        &self,
        now: Millis,
        job: &JobState,
        item_index: usize,
        waits: bool,
    ) -> Option<String> {
        let item = &job.items[item_index];
        let returned_by = item.returned_by.as_ref();
        let progress = item.progress.as_ref();
        let starts_again = |agent: &AgentState| {
            let software = agent.report.software.as_deref();
            progress.is_some_and(|progress| !progress.may_resume_at(software))
        };
        let service = self.service_of(now, job, &item.item.id);
        let fits = |agent: &AgentState| {
            agent.has_capacity()
                && agent.may_run(now, job)
                && service.is_none_or(|service| agent.report.service.as_deref() == Some(service))
                && !(waits && starts_again(agent))
        };
        let cost = |agent: &AgentState| {
            let own_set = self.set_of(agent) == Some(&job.model);
            let penalty = if own_set {
                0
            } else {
                OTHER_SET_PENALTY_CLASSES
            };
            let has_returned = returned_by == Some(&agent.report.agent);
            (
                has_returned,
                starts_again(agent),
                agent.latency_class(1) + penalty,
                agent.outstanding(),
            )
        };
        let fitting = self.agents.values().filter(|agent| fits(agent));
        let best = fitting.min_by_key(|agent| cost(agent))?;
        Some(best.report.agent.clone())
    }
}
