//! The check of LOST for a step that has run out of time.

use crate::Verdict;
use crate::engine::Run;
use crate::record::Record;
use crate::trainer::{DEADLINE, Step};
use std::time::Duration;

/// Time for which an item was at no worker.
const AT_NO_WORKER: Duration = Duration::from_secs(5);
/// Time before the deadline in which no item began.
const NONE_BEGAN: Duration = Duration::from_secs(3);
/// Times at which the running requests are counted.
const SAMPLES: u32 = 50;

/// Checks a step that was not served: the rule is broken if one of its items, which no worker has finished,
/// was at no worker for the last 5 s, others had begun, the workers with `slots` places were under half full,
/// and no item began in the last 3 s. That no version was named then or in the 6 s before is up to the case.
pub fn check_lost(record: &Record, runs: &[Run], step: &Step, slots: usize) -> Verdict {
    let deadline = step.asked + DEADLINE;
    let of_step: Vec<&Run> = runs
        .iter()
        .filter(|run| step.items.contains(&run.id))
        .collect();
    let end_of = |run: &Run| run.ended.unwrap_or(Duration::MAX);
    let is_lost = |id: &&String| {
        let mut runs = of_step.iter().filter(|run| run.id == **id);
        runs.all(|run| !run.whole && end_of(run).saturating_add(AT_NO_WORKER) <= deadline)
    };
    let lost = step.items.iter().filter(is_lost).count();
    let times = (0..SAMPLES).map(|n| deadline - AT_NO_WORKER * n / SAMPLES);
    let running = |at: Duration| {
        runs.iter()
            .filter(|run| run.began <= at && end_of(run) > at)
            .count()
    };
    let running_max = times.map(running).max().unwrap_or(0);
    let began_late = runs
        .iter()
        .any(|run| run.began + NONE_BEGAN > deadline && run.began < deadline);
    record.line(&format!(
        "step of {} items: {} runs, {lost} items at no worker for {AT_NO_WORKER:?} and not finished; most runs at a \
         time {running_max} of {slots}; a run began in the last {NONE_BEGAN:?}: {began_late}",
        step.items.len(),
        of_step.len(),
    ));
    if lost == 0 || of_step.is_empty() || running_max * 2 >= slots || began_late {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: {lost} items of {} were at no worker",
        step.job
    ))
}
