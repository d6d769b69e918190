//! An order to load weights.

use crate::prelude::*;

/// An order to one worker to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the worker.
    pub worker: String,
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: Version,
    /// Generation of the publication; workers refuse an order with a smaller one.
    pub fence: Fence,
}
