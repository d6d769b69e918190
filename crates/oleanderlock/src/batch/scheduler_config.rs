//! Limits of the scheduler.

use crate::prelude::*;

/// Limits of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// Silence after which an agent's items go to others.
    pub agent_timeout: Millis,
    /// Time for an assignment to arrive before an agent that does not name it has lost it.
    pub assignment_grace: Millis,
    /// Part of the engines that may load weights at once: one in this many.
    pub engines_per_load: usize,
    /// Loads that may run at once however few engines there are.
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
