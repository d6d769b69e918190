//! What a trainer found out about its steps.

use crate::judge::{Sample, judge};
use crate::step_plan::StepPlan;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// What a trainer found out about one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the step.
    pub step: u64,
    /// When it was opened, in milliseconds since the trainer started.
    pub opened_ms: u64,
    /// When its last sample was there; missing while the step is not whole.
    pub whole_ms: Option<u64>,
    /// Samples delivered, each slot counted once.
    pub delivered: u64,
    /// Samples delivered again.
    pub doubled: u64,
    /// Samples whose segments name the wrong versions.
    pub misattributed: u64,
    /// Samples older than the bound when they were delivered.
    pub too_old: u64,
    /// Samples that are not the whole answer to their prompt.
    pub broken: u64,
    /// Pulls that failed or did not count.
    pub failed_pulls: u64,
    /// Time spent waiting in pulls, in milliseconds.
    pub idle_ms: u64,
    /// For each delivered sample, by how many versions it lagged behind the trainer.
    pub staleness: Vec<u64>,
    #[serde(skip)]
    seen: IndexSet<SampleKey>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SampleKey {
    group: u32,
    index: u32,
}

/// All steps of a trainer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TrainerRecord {
    /// Steps in the order in which they were opened.
    pub steps: Vec<StepRecord>,
    /// The trainer ran all its steps.
    pub finished: bool,
}

impl StepRecord {
    /// Creates the record of a step that is being opened.
    pub fn new(step: u64, opened_ms: u64) -> Self {
        Self {
            step,
            opened_ms,
            ..Self::default()
        }
    }

    /// Judges a delivered sample against the version that the pull named.
    pub fn take(&mut self, plan: &StepPlan, sample: &Sample, version: u64, staleness: u64) {
        let group = plan.groups.get(sample.group as usize);
        let length = group.and_then(|group| group.lengths.get(sample.index as usize));
        let (Some(group), Some(length)) = (group, length) else {
            self.broken += 1;
            return;
        };
        let key = SampleKey {
            group: sample.group,
            index: sample.index,
        };
        if !self.seen.insert(key) {
            self.doubled += 1;
            return;
        }
        self.delivered += 1;
        let verdict = judge(&group.prompt, *length, sample);
        self.broken += u64::from(!verdict.whole);
        self.misattributed += u64::from(verdict.whole && !verdict.attributed);
        if let Some(oldest) = verdict.oldest {
            let lag = version.saturating_sub(oldest);
            self.staleness.push(lag);
            self.too_old += u64::from(lag > staleness);
        }
    }

    /// Whether every slot of the plan was delivered.
    pub fn is_whole(&self, plan: &StepPlan) -> bool {
        self.delivered == plan.slots() as u64
    }
}
