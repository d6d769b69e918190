//! What an agent sends when items are done or returned.

use super::ReturnedItem;
use oleanderlock::batch::sample::Sample;
use serde::{Deserialize, Serialize};

/// Results of items and items that an agent returns without one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ItemOutcomes {
    /// Name of the agent.
    pub agent: String,
    /// Results of finished and given up items.
    pub samples: Vec<Sample>,
    /// Items that another agent is to run.
    pub returned: Vec<ReturnedItem>,
}
