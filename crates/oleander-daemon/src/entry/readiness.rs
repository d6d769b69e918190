//! Whether an entry accepts new work.

use crate::steps::step_host::StepHost;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the entry accepts new work, with the steps that are closed when it stops; clones share
/// both.
#[derive(Clone, Default)]
pub struct Readiness {
    stopping: Arc<AtomicBool>,
    pub(crate) steps: StepHost,
}

impl Readiness {
    /// Refuses new work from now on, and closes all steps.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.steps.close();
    }

    /// Returns whether new work is refused.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}
