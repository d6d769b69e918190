//! The check of LOST for a step that runs out of time.

use crate::deployment::{Deployment, Step};
use crate::engine::Run;
use std::time::{Duration, Instant};

/// Time of steady state for which an item has been at no worker.
const AT_NO_WORKER: Duration = Duration::from_secs(5);
const SAMPLES: u32 = 100;

/// Returns the items of a step that are lost as LOST says: the step has run out of time at `out`, no
/// worker has finished them, they have been at no worker for 5 s of steady state, which began at
/// `steady_from`, others of the step had begun, and the workers were under half full all the while.
pub fn lost_items(
    deployment: &Deployment,
    step: &Step,
    out: Instant,
    steady_from: Instant,
) -> Vec<String> {
    let since = out - AT_NO_WORKER;
    let slots: usize = deployment.engines.iter().map(|engine| engine.slots).sum();
    let times = (0..=SAMPLES).map(|n| since + AT_NO_WORKER * n / SAMPLES);
    let most = times.map(|at| deployment.running_at(at)).max().unwrap_or(0);
    let runs = deployment.runs();
    let begun = runs.iter().any(|run| run.began.is_some_and(|at| at < out));
    let record = &deployment.record;
    record.line(&format!(
        "check: the step ran out of time at {:.3}; in the 5 s before, at most {most} of {slots} \
         slots were taken; steady since {:.3}",
        record.time_of(out),
        record.time_of(steady_from)
    ));
    if !begun || most * 2 >= slots || steady_from > since {
        return Vec::new();
    }
    let was_there = |run: &Run| run.arrived <= out && run.left.is_none_or(|left| left >= since);
    let was_finished = |run: &Run| run.finished && run.left.is_some_and(|left| left <= out);
    let is_lost = |item: &&String| {
        let of_item = runs.iter().filter(|run| &run.item == *item);
        !of_item
            .into_iter()
            .any(|run| was_there(run) || was_finished(run))
    };
    let lost: Vec<String> = step.items.iter().filter(is_lost).cloned().collect();
    record.line(&format!(
        "check: {} of {} items were finished by no worker and have been at none for 5 s",
        lost.len(),
        step.items.len()
    ));
    lost
}
