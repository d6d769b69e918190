//! The handle of a step that runs at this entry.

use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::Terms;
use crate::prelude::*;
use crate::process::runtime;
use crate::steps::step_spec::{StepName, StepSpec};
use crate::steps::step_task::StepTask;
use async_channel::Sender;
use oleanderlock::pull::{PullAnswer, PullRefusal};
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_limits::StepLimits;
use oleanderlock::whole_answer::WholeAnswer;
use std::sync::Arc;

/// A pull and who waits for its answer.
#[derive(Debug)]
pub struct PullCall {
    /// Text of the trainer's cursor.
    pub cursor: String,
    /// Version of the trainer.
    pub version: Version,
    /// Longest wait.
    pub wait: Millis,
    /// Gets the answer.
    pub reply: Sender<Result<PullAnswer, PullRefusal>>,
}

/// What a step reacts to.
pub(crate) enum StepEvent {
    /// A trainer pulls.
    Pull(PullCall),
    /// An attempt ended, with a whole sample or a time to wait before the next one.
    Made {
        slot: SlotKey,
        attempt: u32,
        result: Result<WholeAnswer, Millis>,
    },
}

/// A running step; dropping the last handle stops it.
#[derive(Clone)]
pub struct StepHandle {
    pulls: Sender<StepEvent>,
    spec: Arc<StepSpec>,
}

/// How a step begins at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// Its trainer has opened it.
    Opened,
    /// Another entry owned it before.
    TakenOver,
}

impl StepHandle {
    /// Starts to run a step.
    ///
    /// # Errors
    ///
    /// A fault when the step breaks a limit.
    pub fn spawn(
        cx: &EntryCx,
        name: &StepName,
        spec: Arc<StepSpec>,
        terms: &Terms,
        beginning: Beginning,
    ) -> Result<Self, HttpError> {
        let (tx, rx) = async_channel::unbounded();
        let mut actions = Vec::new();
        let step_config = config_of(name, &spec, terms);
        let version = Version(spec.version);
        let step = match beginning {
            Beginning::Opened => Step::open(now(), step_config, version, &mut actions),
            Beginning::TakenOver => Step::recover(step_config, version),
        };
        let step = step
            .map_err(|fault| HttpError::not_run(ErrorKind::BadRequest).detail(fault.to_string()))?;
        let mut task = StepTask::new(cx, name, spec.clone(), terms, step, tx.downgrade());
        runtime::spawn(async move {
            task.act(actions);
            task.run(rx).await;
        });
        Ok(Self { pulls: tx, spec })
    }

    /// Hands a pull to the step; returns false when the step has ended.
    pub fn pull(&self, call: PullCall) -> bool {
        self.pulls.try_send(StepEvent::Pull(call)).is_ok()
    }

    /// Returns what the trainer asked for.
    pub fn spec(&self) -> &StepSpec {
        &self.spec
    }
}

fn config_of(name: &StepName, spec: &StepSpec, terms: &Terms) -> StepConfig {
    let shape = spec.shape();
    let class = &terms.contract.classes[&terms.class];
    StepConfig {
        tag: shape.tag(&name.trainer, name.step),
        shape,
        staleness: Staleness {
            bound: class.staleness_versions,
        },
        limits: StepLimits::default(),
        guards: SampleGuards::ALL,
    }
}
