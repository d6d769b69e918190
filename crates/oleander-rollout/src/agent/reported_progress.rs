//! How much of a run has been reported to the leader.

use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;

/// How much of a run has been reported to the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedProgress {
    /// Random id of the run; 0 before it starts.
    pub run: u64,
    /// Number of the last event that was reported.
    pub last_event: u64,
    /// Length of the text that was reported, in bytes.
    pub bytes: usize,
}

impl ReportedProgress {
    /// Returns the state of a run of which nothing was reported.
    pub fn of_new_run() -> Self {
        Self {
            run: rand::random(),
            ..Self::default()
        }
    }

    /// Returns the number of events that were not reported and their text; `None` if what was reported
    /// is not a part of the progress.
    pub fn unreported<'a>(&self, progress: &'a Progress) -> Option<(u64, &'a str)> {
        let events = progress.last_event.checked_sub(self.last_event)?;
        let text = progress.text.get(self.bytes..)?;
        Some((events, text))
    }

    /// Records that the leader has accepted a part; one that doesn't follow what is recorded, as after
    /// the leader has asked for the whole run meanwhile, changes nothing.
    pub fn record(&mut self, part: &RunPart) {
        if part.run == self.run && part.after_event == self.last_event {
            self.last_event = part.last_event;
            self.bytes += part.text.len();
        }
    }

    /// Makes the next report contain the run from its first event.
    pub fn forget(&mut self) {
        self.last_event = 0;
        self.bytes = 0;
    }
}
