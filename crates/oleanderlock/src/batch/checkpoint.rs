//! What one run of an item had made when its agent last told.

use super::progress::Progress;
use super::run_part::RunPart;
use super::runner::Runner;

/// What one run of an item had made when its agent last told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// Who runs it.
    pub runner: Runner,
    /// Number of the run.
    pub run: u64,
    /// What it has made.
    pub progress: Progress,
}

impl Checkpoint {
    /// Makes a checkpoint of the first part of a run; `None` when events before it are missing.
    pub fn begin(runner: Runner, part: RunPart) -> Option<Self> {
        (part.after_event == 0).then_some(Self {
            runner,
            run: part.run,
            progress: Progress {
                last_event: part.last_event,
                text: part.text,
                versions: part.versions,
            },
        })
    }

    /// Adds the part that follows; returns false when it does not follow or is of another run.
    pub fn append(&mut self, part: &RunPart) -> bool {
        let follows = part.run == self.run && part.after_event == self.progress.last_event;
        if follows {
            self.progress.last_event = part.last_event;
            self.progress.text.push_str(&part.text);
            self.progress.versions.clone_from(&part.versions);
        }
        follows
    }
}
