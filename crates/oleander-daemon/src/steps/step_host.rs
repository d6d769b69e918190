//! The steps that this entry runs, and the lookup of those that other entries run.
//!
//! Correctness does not depend on which entry runs a step, because the trainer's cursor decides
//! which samples it gets. The record in the store only tells entries where to forward a pull.

use crate::entry::entry_cx::EntryCx;
use crate::prelude::*;
use crate::steps::step_handle::StepHandle;
use crate::steps::step_location::StepLocation;
use crate::steps::step_name::StepName;
use crate::steps::step_record::StepRecord;
use crate::steps::step_spec::StepSpec;
use crate::steps::step_start::StepStart;
use crate::store::store_error::StoreError;
use crate::store::stored_object::StoredObject;
use crate::store::write_condition::WriteCondition;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;

/// Number of steps of one trainer that an entry keeps; older ones are dropped.
const STEPS_PER_TRAINER_MAX: usize = 3;
/// Retry delay that is sent when the store is unavailable.
const STORE_RETRY_DELAY: Millis = Millis(500);

/// The steps that this entry runs; cheap to clone.
#[derive(Clone, Default)]
pub struct StepHost {
    steps: Arc<Mutex<IndexMap<StepName, StepHandle>>>,
}

impl StepHost {
    /// Opens a step at this entry; returns false when it is open already.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] for an invalid step, [`ErrorKind::NoContract`] when no contract has
    /// its class, [`ErrorKind::Conflict`] when it is open with other groups or another model.
    pub async fn open(
        &self,
        cx: &EntryCx,
        name: &StepName,
        spec: StepSpec,
    ) -> Result<bool, HttpError> {
        spec.check()?;
        if let Some(found) = self.find(name) {
            return check_same(found.spec(), &spec);
        }
        let is_new = self
            .start(cx, name, Arc::new(spec.clone()), StepStart::Opened)
            .await?;
        if is_new {
            log::info!(
                "event=step-opened step={name} slots={}",
                spec.shape().slots()
            );
            record_owner(cx, name, spec).await;
        }
        Ok(is_new)
    }

    /// Returns where a step runs; takes it over if the record names this entry, which has restarted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when the trainer must open the step again, or
    /// [`ErrorKind::StoreUnavailable`].
    pub async fn locate(&self, cx: &EntryCx, name: &StepName) -> Result<StepLocation, HttpError> {
        if let Some(found) = self.find(name) {
            return Ok(StepLocation::Local(found));
        }
        let record = read_record(cx, name).await?;
        let own = cx.cfg.node.http.to_string();
        if record.owner != own {
            return Ok(StepLocation::Remote(record.owner));
        }
        // This entry ran the step before it restarted.
        self.take_over(cx, name).await.map(StepLocation::Local)
    }

    /// Runs a step from now on, because its owner does not answer or has lost it.
    ///
    /// # Errors
    ///
    /// As [`StepHost::locate`].
    pub async fn take_over(&self, cx: &EntryCx, name: &StepName) -> Result<StepHandle, HttpError> {
        let record = read_record(cx, name).await?;
        log::warn!("event=step-taken-over step={name} from={}", record.owner);
        cx.metrics.count_event("step-taken-over");
        let spec = Arc::new(record.spec.clone());
        self.start(cx, name, spec, StepStart::TakenOver).await?;
        record_owner(cx, name, record.spec).await;
        self.find(name)
            .ok_or_else(|| HttpError::not_run(ErrorKind::NotFound))
    }

    /// Stops all steps when this process stops: their attempts are cancelled and their pulls refused,
    /// so that trainers continue at another entry.
    pub fn close(&self) {
        self.steps.lock().clear();
    }

    /// Returns the names of the steps that this entry runs.
    pub fn names(&self) -> Vec<StepName> {
        self.steps.lock().keys().cloned().collect()
    }

    async fn start(
        &self,
        cx: &EntryCx,
        name: &StepName,
        spec: Arc<StepSpec>,
        start: StepStart,
    ) -> Result<bool, HttpError> {
        let terms = cx.terms(Some(spec.class.clone()), None).await;
        let terms = terms.ok_or_else(|| HttpError::not_run(ErrorKind::NoContract))?;
        let kind = terms.contract.classes[&terms.class].kind;
        if kind != WorkKind::Samples {
            let detail = format!("the class {} is not one for samples", terms.class);
            return Err(HttpError::not_run(ErrorKind::BadRequest).detail(detail));
        }
        let mut steps = self.steps.lock();
        if steps.contains_key(name) {
            return Ok(false);
        }
        let handle = StepHandle::spawn(cx, name, spec, &terms, start)?;
        steps.insert(name.clone(), handle);
        drop_old_steps(&mut steps, &name.trainer);
        Ok(true)
    }

    fn find(&self, name: &StepName) -> Option<StepHandle> {
        self.steps.lock().get(name).cloned()
    }
}

fn drop_old_steps(steps: &mut IndexMap<StepName, StepHandle>, trainer: &str) {
    let mut numbers: Vec<u64> = steps
        .keys()
        .filter(|name| name.trainer == trainer)
        .map(|name| name.step)
        .collect();
    numbers.sort_unstable();
    let excess = numbers.len().saturating_sub(STEPS_PER_TRAINER_MAX);
    for step in numbers.into_iter().take(excess) {
        steps.shift_remove(&StepName {
            trainer: trainer.to_owned(),
            step,
        });
    }
}

/// Checks that a step that is open already is opened with the same content.
fn check_same(current: &StepSpec, requested: &StepSpec) -> Result<bool, HttpError> {
    if current.groups == requested.groups && current.model == requested.model {
        return Ok(false);
    }
    let detail = "the step is open with other groups or another model";
    Err(HttpError::not_run(ErrorKind::Conflict).detail(detail))
}

fn object_name(name: &StepName) -> String {
    format!("steps/{}", name.trainer)
}

async fn read_record(cx: &EntryCx, name: &StepName) -> Result<StepRecord, HttpError> {
    let object = cx.store.get(&object_name(name)).await.map_err(|_| {
        HttpError::not_run(ErrorKind::StoreUnavailable).retry_after(STORE_RETRY_DELAY)
    })?;
    let record = object.as_ref().and_then(parse_record);
    let record = record.filter(|record| record.step == name.step);
    record.ok_or_else(|| {
        let detail = "the step is not open here; open it again";
        HttpError::not_run(ErrorKind::NotFound).detail(detail)
    })
}

fn parse_record(object: &StoredObject) -> Option<StepRecord> {
    serde_json::from_str(object.value.as_deref()?).ok()
}

/// Records this entry as the owner. A failure is only counted: the step runs, but other entries
/// can't forward pulls to it.
async fn record_owner(cx: &EntryCx, name: &StepName, spec: StepSpec) {
    let owner = cx.cfg.node.http.to_string();
    let record = StepRecord {
        step: name.step,
        owner,
        spec,
    };
    let Ok(value) = serde_json::to_string(&record) else {
        return;
    };
    if write_owner(cx, name, value).await.is_err() {
        cx.metrics.count_event("step-owner-not-recorded");
    }
}

/// Writes the record unless it is of a newer step already.
async fn write_owner(cx: &EntryCx, name: &StepName, value: String) -> Result<(), StoreError> {
    let object = object_name(name);
    let current = cx.store.get(&object).await?;
    let condition = match &current {
        None => WriteCondition::Absent,
        Some(found) => WriteCondition::Version(found.version),
    };
    let is_newer = current
        .as_ref()
        .and_then(parse_record)
        .is_some_and(|record| record.step > name.step);
    if is_newer {
        return Ok(());
    }
    cx.store.put(&object, condition, value).await.map(|_| ())
}
