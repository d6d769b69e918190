//! Service times of an endpoint by class.

use crate::prelude::*;
use crate::service_time_model::ServiceTimeModel;
use crate::shares::ClassKey;
use crate::work::Work;
use indexmap::IndexMap;

/// Measured service times of each class, and of all work for classes without any.
///
/// Bounded by the classes in force.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeModels {
    classes: IndexMap<ClassKey, ServiceTimeModel>,
    all: ServiceTimeModel,
}

impl ServiceTimeModels {
    /// Takes in that the work held its slot for `took`.
    pub fn record(&mut self, work: &Work, took: Millis) {
        let class = self.classes.entry(work.class).or_default();
        class.record(work.cost, took);
        self.all.record(work.cost, took);
    }

    /// Forgets the classes that are not to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(ClassKey) -> bool) {
        self.classes.retain(|class, _| is_kept(*class));
    }

    /// Returns the expected service time of the work.
    pub fn estimate(&self, work: &Work) -> Millis {
        let class = self.classes.get(&work.class);
        class.unwrap_or(&self.all).estimate(work.cost)
    }

    /// Returns the tokens that one slot serves in a second.
    pub fn tokens_per_second(&self) -> f64 {
        self.all.tokens_per_second()
    }
}
