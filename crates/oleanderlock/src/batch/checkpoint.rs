//! Checkpoint of one run of an item.

use super::progress::Progress;
use super::run_part::RunPart;
use super::runner::Runner;

/// Output of one run of an item as of the last report of its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// Agent process that runs it.
    pub runner: Runner,
    /// Number that is unique to the run.
    pub run: u64,
    /// Output of the run so far.
    pub progress: Progress,
}

impl Checkpoint {
    /// Creates a checkpoint from the first part of a run; `None` if the part does not start with the
    /// first event.
    pub fn begin(runner: Runner, part: RunPart) -> Option<Self> {
        (part.after_event == 0).then_some(Self {
            runner,
            run: part.run,
            progress: Progress {
                last_event: part.last_event,
                text: part.text,
                versions: part.versions,
                software: part.software,
            },
        })
    }

    /// Appends the next part; returns false and changes nothing if the part is of another run or
    /// leaves a gap.
    pub fn append(&mut self, part: &RunPart) -> bool {
        let follows = part.run == self.run
            && part.after_event == self.progress.last_event
            && part.software == self.progress.software;
        if follows {
            self.progress.last_event = part.last_event;
            self.progress.text.push_str(&part.text);
            self.progress.versions.clone_from(&part.versions);
        }
        follows
    }
}
