//! Limits of the batch scheduler.

use crate::prelude::*;

/// Timeouts and load limits of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// Time without a report after which an agent is removed and its items are reassigned.
    pub agent_timeout: Millis,
    /// Time after an assignment in which a report without the item does not count as a loss: the
    /// assignment may still be on its way.
    pub assignment_grace: Millis,
    /// Engines per concurrent weight load: with 5, a fifth of the engines may load at once.
    pub engines_per_load: usize,
    /// Concurrent weight loads that are allowed however few engines there are.
    pub concurrent_loads_min: usize,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            agent_timeout: Millis(2500),
            assignment_grace: Millis(800),
            engines_per_load: 5,
            concurrent_loads_min: 2,
        }
    }
}
