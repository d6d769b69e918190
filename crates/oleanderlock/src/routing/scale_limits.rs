//! Limits of the number of endpoints of a service that may be ordered.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Limits of the number of endpoints of a service that may be ordered, for each failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleLimits {
    /// Fewest endpoints in a failure domain.
    pub min: u32,
    /// Most endpoints in a failure domain.
    pub max: u32,
    /// Time from an order until the new endpoints serve.
    pub boot: Millis,
}
