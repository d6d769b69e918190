//! Checkpoints of runs: taken from the reports of agents, written to the platform's store, and used
//! by the next run of an item.

use super::dispatcher::Dispatcher;
use super::state::State;
use crate::prelude::*;
use crate::store::store_error::StoreError;
use crate::store::watch::list_pages;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::checkpoint_log::{CheckpointLog, PAGE_SLOTS};
use oleanderlock::batch::checkpoint_page::CheckpointPage;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::runner::Runner;
use serde_json::value::to_raw_value;
use std::rc::Rc;

/// Kind of the objects that hold pages of checkpoints.
const CHECKPOINT_KIND: &str = "run-checkpoints";
/// Time between two writes: the most work of a run that is lost if all processes end.
const WRITE_EVERY: Millis = Millis(1000);
/// The texts of a page take at most the largest value of the store divided by this.
const PAGE_DIVISOR: usize = 2;
/// Time between two events of a run on a fast engine.
const EVENT_TIME: Millis = Millis(30);
/// Longest time for which an item with a checkpoint waits for its agent after a change of the
/// leader; agents that were restarted together with the leader report within about a second.
const HOLD_MAX: Millis = Millis(2000);

/// Takes the progress of an agent's runs from its report; makes the checkpoints of runs that it no
/// longer has available to the next run.
pub fn apply_report(state: &mut State, report: &AgentReport, parts: Vec<RunPart>) {
    for key in state.checkpoints.ended_runs(report) {
        if state.scheduler.is_assigned(&key) {
            continue;
        }
        if let Some(progress) = state.checkpoints.remove(&key) {
            event(log::Level::Info, "checkpoint-used", || {
                let (item, job, events) = (&key.item, &key.job, progress.last_event);
                format!(
                    "request={item} job={job} agent={} events={events}",
                    report.agent
                )
            });
            state.scheduler.restore_progress(&key, progress);
        }
    }
    for part in parts {
        let runner = Runner {
            agent: report.agent.clone(),
            process: report.process,
        };
        let name = part.key.to_string();
        if state.scheduler.is_assigned(&part.key) && !state.checkpoints.append(runner, part) {
            state.outbox(&report.agent).resend_full.push(name);
        }
    }
}

/// Writes a page every [`WRITE_EVERY`], if there is new progress, for as long as this dispatcher
/// leads in `epoch`.
pub async fn run(dispatcher: Rc<Dispatcher>, epoch: u64) {
    while dispatcher.leads_in(epoch) {
        sleep(WRITE_EVERY).await;
        let max_bytes = dispatcher.cfg.value_bytes / PAGE_DIVISOR;
        let page = dispatcher
            .state
            .borrow_mut()
            .checkpoints
            .next_page(epoch, max_bytes);
        let Some(page) = page.filter(|_| dispatcher.leads_in(epoch)) else {
            continue;
        };
        match write(&dispatcher, &page).await {
            Ok(()) => dispatcher.state.borrow_mut().checkpoints.confirm_page(),
            Err(err) => event(log::Level::Info, "checkpoint-failed", || {
                format!("page={} reason=\"{err}\"", page.number)
            }),
        }
    }
}

async fn write(dispatcher: &Dispatcher, page: &CheckpointPage) -> Result<(), StoreError> {
    let spec = to_raw_value(page).map_err(StoreError::not_done)?;
    let name = (page.number % PAGE_SLOTS).to_string();
    dispatcher.store.put(CHECKPOINT_KIND, &name, &spec).await
}

/// Reads all stored pages, except unreadable ones; items without a checkpoint run from their start.
pub async fn read(dispatcher: &Dispatcher) -> Vec<CheckpointPage> {
    let pages = match list_pages(&dispatcher.store, CHECKPOINT_KIND, None).await {
        Ok(pages) => pages,
        Err(err) => {
            log_unreadable(&err);
            return Vec::new();
        }
    };
    let objects = pages.iter().flat_map(|page| &page.objects);
    let decoded = objects.map(|object| serde_json::from_str(object.spec.get()));
    let readable = decoded.filter_map(|page| page.inspect_err(log_unreadable).ok());
    readable.collect()
}

fn log_unreadable(err: &impl std::fmt::Display) {
    event(log::Level::Warn, "checkpoints-unreadable", || {
        format!("reason=\"{err}\"")
    });
}

/// Restores the checkpoints from pages. Their items wait for their agents, which may still run
/// them.
pub fn restore(state: &mut State, pages: Vec<CheckpointPage>) {
    let scheduler = &mut state.scheduler;
    state.checkpoints = CheckpointLog::restore(pages, |key| scheduler.is_open(key));
    let now = now();
    for (key, progress) in state.checkpoints.iter() {
        scheduler.hold(key, now.plus(hold_time(progress)));
    }
    event(log::Level::Info, "checkpoints-read", || {
        format!("runs={}", state.checkpoints.iter().count())
    });
}

/// Returns how long an item waits for the agent that ran it: no longer than a new run needs for the
/// same events.
fn hold_time(progress: &Progress) -> Millis {
    Millis(progress.last_event * EVENT_TIME.0).min(HOLD_MAX)
}
