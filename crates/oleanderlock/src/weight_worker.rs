//! State of one worker in the weight planner.

use crate::loaded_version::LoadedVersion;
use crate::prelude::*;
use crate::weight_report::WeightReport;

/// An order that was sent and has neither taken effect nor failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenOrder {
    pub(crate) version: Version,
    pub(crate) sent_at: Millis,
}

/// A worker of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightWorker {
    pub(crate) loaded: LoadedVersion,
    pub(crate) loading: Option<Version>,
    pub(crate) order: Option<OpenOrder>,
    /// Failed swaps since the last one that took effect.
    pub(crate) failures: u32,
    /// Earliest time of the next order.
    pub(crate) retry_at: Millis,
}

impl WeightWorker {
    pub(crate) fn new(report: WeightReport) -> Self {
        Self {
            loaded: report.loaded,
            loading: report.loading,
            order: None,
            failures: 0,
            retry_at: Millis::ZERO,
        }
    }

    /// Returns whether the worker serves `version` or a newer one.
    pub(crate) fn serves(&self, version: Version) -> bool {
        matches!(self.loaded, LoadedVersion::Known(loaded) if loaded >= version)
    }

    /// Returns whether the worker may be out of service.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.is_loading() || self.loaded == LoadedVersion::Unknown
    }

    /// Returns whether the worker loads a version or was ordered to.
    pub(crate) fn is_loading(&self) -> bool {
        self.order.is_some() || self.loading.is_some()
    }
}
