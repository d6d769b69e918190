//! Deletes the objects of ended jobs and the chunks of results that need no longer be readable.

use super::dispatcher::Dispatcher;
use crate::prelude::*;
use crate::store::job_objects::{JOB_KIND, RESULT_KIND, chunk_name, delete_job};
use crate::store::store_error::StoreError;
use std::rc::Rc;

/// Time between two searches for objects that are no longer needed.
const CLEAN_EVERY: Millis = Millis::from_secs(2);
/// Percentage of the time for which results are readable after which their objects are deleted.
const KEEP_PERCENT: u64 = 150;
/// Most jobs that are deleted at a time: more than are submitted, so that none are left over.
const JOBS_MAX: usize = 20;
/// Most chunks that are deleted at a time: at most one is written each 0.1 s.
const CHUNKS_MAX: usize = 40;

/// Deletes what is no longer needed for as long as this dispatcher leads in `epoch`.
pub async fn run(dispatcher: Rc<Dispatcher>, epoch: u64) {
    while dispatcher.leads_in(epoch) {
        sleep(CLEAN_EVERY).await;
        drop_unknown(&dispatcher);
        set_gauges(&dispatcher);
        let deleted = match delete_jobs(&dispatcher, epoch).await {
            Ok(()) => delete_chunks(&dispatcher, epoch).await,
            Err(err) => Err(err),
        };
        if let Err(err) = deleted {
            event(log::Level::Info, "cleanup-failed", || {
                format!("epoch={epoch} reason=\"{err}\"")
            });
        }
    }
}

fn set_gauges(dispatcher: &Dispatcher) {
    let state = dispatcher.state.borrow();
    let metrics = &dispatcher.metrics;
    metrics.set_memory("listed-results", state.log.loaded_bytes());
    metrics.set_memory("open-jobs", state.scheduler.open_bytes());
    metrics.set_kept("jobs", state.jobs.len());
    metrics.set_kept("unfinished-items", state.scheduler.unfinished_items());
    metrics.set_kept(
        "listed-results",
        state
            .log
            .jobs()
            .map(|(job, _)| state.log.listed_count(job))
            .sum(),
    );
    metrics.set_kept("chunks", state.chunks.len());
    metrics.set_kept("checkpoints", state.checkpoints.iter().count());
}

/// Whether what was submitted or written at a Unix time, in milliseconds, need no longer be readable.
fn is_old(dispatcher: &Dispatcher, at_unix_ms: u64) -> bool {
    let keep = dispatcher.cfg.keep_results.0 * KEEP_PERCENT / 100;
    at_unix_ms.saturating_add(keep) < unix_ms()
}

/// Drops the listed results of jobs that an earlier leader has deleted: their chunks may hold results of
/// other jobs too, so that a new leader reads them. An unknown job is a deleted one if the store has
/// had time to show it.
fn drop_unknown(dispatcher: &Dispatcher) {
    let mut state = dispatcher.state.borrow_mut();
    let state = &mut *state;
    let jobs = state.log.jobs();
    let is_deleted = |job: &str, first_chunk: u64| {
        let written = state.chunks.get(&first_chunk);
        !state.jobs.contains_key(job)
            && !state.unread_jobs.contains(job)
            && written.is_some_and(|at| is_old(dispatcher, *at))
    };
    let deleted = jobs.filter(|(job, first_chunk)| is_deleted(job, *first_chunk));
    let deleted: Vec<String> = deleted.map(|(job, _)| job.to_owned()).collect();
    for job in deleted {
        state.log.remove_job(&job);
    }
}

async fn delete_jobs(dispatcher: &Dispatcher, epoch: u64) -> Result<(), StoreError> {
    let old: Vec<String> = {
        let state = dispatcher.state.borrow();
        let jobs = state.jobs.iter();
        let old = jobs.filter(|(id, job)| {
            is_old(dispatcher, job.submitted_unix_ms)
                && state.ended.contains(id.as_str())
                && !state.jobs_with_unread_results.contains(id.as_str())
        });
        old.take(JOBS_MAX).map(|(id, _)| id.clone()).collect()
    };
    for id in old {
        let object = dispatcher.store.get(JOB_KIND, &id).await?;
        delete_job(&dispatcher.store, &id, object.as_ref()).await?;
        if !dispatcher.leads_in(epoch) {
            return Ok(());
        }
        let mut state = dispatcher.state.borrow_mut();
        state.jobs.shift_remove(&id);
        state.ended.shift_remove(&id);
        state.scheduler.remove_job(&id);
        state.log.remove_job(&id);
    }
    Ok(())
}

/// Deletes old chunks without a result that is still readable, also between chunks of a job that stays open.
async fn delete_chunks(dispatcher: &Dispatcher, epoch: u64) -> Result<(), StoreError> {
    let old: Vec<u64> = {
        let state = dispatcher.state.borrow();
        // The newest chunk stays, because the next leader continues its number.
        let newest = state.log.next_chunk_index().saturating_sub(1);
        let old = state.chunks.iter().filter(|(index, at)| {
            **index < newest && is_old(dispatcher, **at) && !state.log.is_needed(**index)
        });
        old.take(CHUNKS_MAX).map(|(index, _)| *index).collect()
    };
    if !dispatcher
        .state
        .borrow()
        .jobs_with_unread_results
        .is_empty()
    {
        return Ok(());
    }
    for index in old {
        let name = chunk_name(index);
        dispatcher.store.delete(RESULT_KIND, &name).await?;
        if !dispatcher.leads_in(epoch) {
            return Ok(());
        }
        dispatcher.state.borrow_mut().chunks.shift_remove(&index);
    }
    Ok(())
}
