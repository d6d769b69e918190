//! The steps that this entry owns, and the way to those of other entries.
//!
//! Safety does not depend on who owns a step, because the trainer's cursor decides what it gets.
//! The object in the store only tells other entries where to send a pull.

use crate::entry::entry_cx::EntryCx;
use crate::prelude::*;
use crate::steps::step_handle::{Beginning, StepHandle};
use crate::steps::step_spec::{StepName, StepSpec};
use crate::store::store_client::{Condition, StoreError, StoredObject};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Steps of one trainer that an entry keeps; older ones are dropped.
const STEPS_PER_TRAINER: usize = 3;

/// Where a step is owned, as the store keeps it; one object for each trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the trainer's latest step.
    pub step: u64,
    /// HTTP address of the owner.
    pub owner: String,
    /// What the trainer asked for.
    pub spec: StepSpec,
}

/// Where a pull goes.
pub enum StepPlace {
    /// This entry owns the step.
    Here(StepHandle),
    /// Another entry owns it, at this HTTP address.
    There(String),
}

/// The steps of an entry; cheap to clone.
#[derive(Clone, Default)]
pub struct StepHost {
    steps: Arc<Mutex<IndexMap<StepName, StepHandle>>>,
}

impl StepHost {
    /// Opens a step here, or finds it open; returns whether it is new.
    ///
    /// # Errors
    ///
    /// A fault of the step, or that no contract covers it.
    pub async fn open(
        &self,
        cx: &EntryCx,
        name: &StepName,
        spec: StepSpec,
    ) -> Result<bool, HttpError> {
        spec.check()?;
        if let Some(found) = self.find(name) {
            return same_or_conflict(found.spec(), &spec);
        }
        let is_new = self
            .begin(cx, name, Arc::new(spec.clone()), Beginning::Opened)
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

    /// Finds a step here, or the entry that owns it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] when the trainer must open it again, or
    /// [`ErrorKind::StoreUnavailable`].
    pub async fn place(&self, cx: &EntryCx, name: &StepName) -> Result<StepPlace, HttpError> {
        if let Some(found) = self.find(name) {
            return Ok(StepPlace::Here(found));
        }
        let record = read_record(cx, name).await?;
        let own = cx.cfg.node.http.to_string();
        if record.owner != own {
            return Ok(StepPlace::There(record.owner));
        }
        // This process owned the step before it restarted.
        self.take_over(cx, name).await.map(StepPlace::Here)
    }

    /// Owns a step from now on, because its owner does not answer.
    ///
    /// # Errors
    ///
    /// As [`StepHost::place`].
    pub async fn take_over(&self, cx: &EntryCx, name: &StepName) -> Result<StepHandle, HttpError> {
        let record = read_record(cx, name).await?;
        log::warn!("event=step-taken-over step={name} from={}", record.owner);
        cx.metrics.count_event("step-taken-over");
        let spec = Arc::new(record.spec.clone());
        self.begin(cx, name, spec, Beginning::TakenOver).await?;
        record_owner(cx, name, record.spec).await;
        self.find(name)
            .ok_or_else(|| HttpError::not_run(ErrorKind::NotFound))
    }

    /// Gives up all steps, because this process stops; their attempts are cancelled and their
    /// pulls refused, so that trainers go on at another entry.
    pub fn close(&self) {
        self.steps.lock().clear();
    }

    /// Returns the names of the steps owned here.
    pub fn names(&self) -> Vec<StepName> {
        self.steps.lock().keys().cloned().collect()
    }

    async fn begin(
        &self,
        cx: &EntryCx,
        name: &StepName,
        spec: Arc<StepSpec>,
        beginning: Beginning,
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
        let handle = StepHandle::spawn(cx, name, spec, &terms, beginning)?;
        steps.insert(name.clone(), handle);
        drop_old(&mut steps, &name.trainer);
        Ok(true)
    }

    fn find(&self, name: &StepName) -> Option<StepHandle> {
        self.steps.lock().get(name).cloned()
    }
}

fn drop_old(steps: &mut IndexMap<StepName, StepHandle>, trainer: &str) {
    let mut numbers: Vec<u64> = steps
        .keys()
        .filter(|name| name.trainer == trainer)
        .map(|name| name.step)
        .collect();
    numbers.sort_unstable();
    let excess = numbers.len().saturating_sub(STEPS_PER_TRAINER);
    for step in numbers.into_iter().take(excess) {
        steps.shift_remove(&StepName {
            trainer: trainer.to_owned(),
            step,
        });
    }
}

fn same_or_conflict(standing: &StepSpec, asked: &StepSpec) -> Result<bool, HttpError> {
    if standing.groups == asked.groups && standing.model == asked.model {
        return Ok(false);
    }
    let detail = "the step is open with other groups or another model";
    Err(HttpError::not_run(ErrorKind::Conflict).detail(detail))
}

fn object_name(name: &StepName) -> String {
    format!("steps/{}", name.trainer)
}

async fn read_record(cx: &EntryCx, name: &StepName) -> Result<StepRecord, HttpError> {
    let object =
        cx.store.get(&object_name(name)).await.map_err(|_| {
            HttpError::not_run(ErrorKind::StoreUnavailable).retry_after(Millis(500))
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

/// Tells other entries where the step is; the step runs without it too.
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

async fn write_owner(cx: &EntryCx, name: &StepName, value: String) -> Result<(), StoreError> {
    let object = object_name(name);
    let standing = cx.store.get(&object).await?;
    let condition = match &standing {
        None => Condition::Absent,
        Some(found) => Condition::Version(found.version),
    };
    let newer = standing
        .as_ref()
        .and_then(parse_record)
        .is_some_and(|it| it.step > name.step);
    if newer {
        return Ok(());
    }
    cx.store.put(&object, condition, value).await.map(|_| ())
}
