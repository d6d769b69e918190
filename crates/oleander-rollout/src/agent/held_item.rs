//! An item that waits or runs at an agent.

use super::reported_progress::ReportedProgress;
use crate::peer::messages::WorkItem;
use crate::prelude::*;
use oleanderlock::batch::run_part::RunPart;
use smol::Task;

/// Events after which a run is reported to the leader; most runs end before.
const LONG_RUN_EVENTS: u64 = 16;
/// Fewest new events that are reported.
const NEW_EVENTS_MIN: u64 = 8;

/// An item that waits or runs at an agent.
#[derive(Debug)]
pub struct HeldItem {
    /// What to run, with the progress made so far.
    pub work: WorkItem,
    /// The run, `None` while the item waits; dropping it cancels the request to the engine.
    pub run: Option<Task<()>>,
    /// Progress that the leader knows.
    pub reported: ReportedProgress,
    /// When the run started, if it has.
    pub started_at: Millis,
    /// When the item first found no room in the engine's token memory, while it waits for some.
    pub passed_since: Option<Millis>,
}

impl HeldItem {
    /// Returns an item that waits for a slot.
    pub fn waiting(work: WorkItem) -> Self {
        Self {
            work,
            run: None,
            reported: ReportedProgress::default(),
            started_at: Millis::ZERO,
            passed_since: None,
        }
    }

    /// Returns the progress that the leader does not know yet; `None` while the run is short or has
    /// few new events.
    pub fn unreported_part(&self) -> Option<RunPart> {
        let progress = self.work.progress.as_ref()?;
        let (new, text, after_event) = match self.reported.unreported(progress) {
            Some((new, text)) => (new, text, self.reported.last_event),
            None => (progress.last_event, progress.text.as_str(), 0),
        };
        if self.run.is_none() || progress.last_event < LONG_RUN_EVENTS || new < NEW_EVENTS_MIN {
            return None;
        }
        Some(RunPart {
            key: self.work.key.clone(),
            run: self.reported.run,
            after_event,
            last_event: progress.last_event,
            text: text.to_owned(),
            versions: progress.versions.clone(),
            software: progress.software.clone(),
        })
    }
}
