//! Service time models of one endpoint by class.

use crate::prelude::*;
use crate::service_time_model::ServiceTimeModel;
use crate::shares::ClassKey;
use crate::work::Work;
use indexmap::IndexMap;

/// A service time model for each class, and one over all work for classes without measurements.
///
/// Holds at most the granted classes; see [`ServiceTimeModels::retain`].
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeModels {
    classes: IndexMap<ClassKey, ServiceTimeModel>,
    all: ServiceTimeModel,
}

impl ServiceTimeModels {
    /// Records that the work held its slot for `took`.
    pub fn record(&mut self, work: &Work, took: Millis) {
        let class = self.classes.entry(work.class).or_default();
        class.record(work.cost, took);
        self.all.record(work.cost, took);
    }

    /// Drops the models of classes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(ClassKey) -> bool) {
        self.classes.retain(|class, _| is_kept(*class));
    }

    /// Returns the expected service time of the work, by the model of its class if there is one.
    pub fn estimate(&self, work: &Work) -> Millis {
        let class = self.classes.get(&work.class);
        class.unwrap_or(&self.all).estimate(work.cost)
    }

    /// Returns the mean number of tokens that one slot serves in a second, over all classes.
    pub fn tokens_per_second(&self) -> f64 {
        self.all.tokens_per_second()
    }
}
