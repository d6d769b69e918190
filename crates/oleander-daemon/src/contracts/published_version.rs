//! A published weight version.

use crate::prelude::*;

/// The weight version that all workers of a model must load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: Version,
    /// Fencing number of orders to load it: the generation of the publication.
    pub fence: Fence,
}
