//! Handle of a step that runs at this entry.

use crate::entry::entry_cx::EntryCx;
use crate::entry::terms::Terms;
use crate::prelude::*;
use crate::process::runtime;
use crate::steps::pull_call::PullCall;
use crate::steps::step_event::StepEvent;
use crate::steps::step_name::StepName;
use crate::steps::step_spec::StepSpec;
use crate::steps::step_start::StepStart;
use crate::steps::step_task::StepTask;
use async_channel::Sender;
use oleanderlock::sample_guards::SampleGuards;
use oleanderlock::staleness::Staleness;
use oleanderlock::step::Step;
use oleanderlock::step_config::StepConfig;
use oleanderlock::step_limits::StepLimits;
use std::sync::Arc;

/// Handle of a running step; dropping the last clone stops the step.
#[derive(Clone)]
pub struct StepHandle {
    events: Sender<StepEvent>,
    spec: Arc<StepSpec>,
}

impl StepHandle {
    /// Starts the task of a step.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] when the step exceeds a limit.
    pub fn spawn(
        cx: &EntryCx,
        name: &StepName,
        spec: Arc<StepSpec>,
        terms: &Terms,
        start: StepStart,
    ) -> Result<Self, HttpError> {
        let (tx, rx) = async_channel::unbounded();
        let mut actions = Vec::new();
        let config = step_config(name, &spec, terms);
        let version = Version(spec.version);
        let step = match start {
            StepStart::Opened => Step::open(now(), config, version, &mut actions),
            StepStart::TakenOver => Step::recover(config, version),
        };
        let step = step
            .map_err(|error| HttpError::not_run(ErrorKind::BadRequest).detail(error.to_string()))?;
        let mut task = StepTask::new(cx, name, spec.clone(), terms, step, tx.downgrade());
        runtime::spawn(async move {
            task.apply(actions);
            task.run(rx).await;
        });
        Ok(Self { events: tx, spec })
    }

    /// Sends a pull to the step; returns false when the step has ended.
    pub fn pull(&self, call: PullCall) -> bool {
        self.events.try_send(StepEvent::Pull(call)).is_ok()
    }

    /// Returns the step as its trainer opened it.
    pub fn spec(&self) -> &StepSpec {
        &self.spec
    }
}

fn step_config(name: &StepName, spec: &StepSpec, terms: &Terms) -> StepConfig {
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
