//! Lists results: appends chunks to the result log in the store, and checks that no other
//! dispatcher has appended to it.

use super::dispatcher::Dispatcher;
use super::state::State;
use crate::prelude::*;
use crate::store::job_objects::{create_chunk, read_chunk};
use crate::store::store_error::StoreError;
use oleanderlock::batch::result_chunk::ResultChunk;
use smol::future::FutureExt as _;
use std::rc::Rc;

/// Time for which results are collected before they are written as one chunk.
const BATCH_TIME: Millis = Millis(100);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Millis = Millis(100);
/// The samples of a chunk take at most the largest value of the store divided by this.
const CHUNK_DIVISOR: usize = 2;

/// Appends waiting results for as long as this dispatcher leads in `epoch`.
pub async fn run(dispatcher: Rc<Dispatcher>, epoch: u64) {
    while dispatcher.leads_in(epoch) {
        let changed = dispatcher.changed.listen();
        let staged = dispatcher.staged.listen();
        if !dispatcher.state.borrow().log.has_unlisted() {
            changed.or(staged).await;
            continue;
        }
        sleep(BATCH_TIME).await;
        if !append(&dispatcher, epoch).await {
            sleep(STORE_RETRY_PAUSE).await;
        }
    }
}

/// Appends all waiting results; stops at the first failed call to the store.
pub async fn flush(dispatcher: &Dispatcher, epoch: u64) {
    while dispatcher.leads_in(epoch) && dispatcher.state.borrow().log.has_unlisted() {
        if !append(dispatcher, epoch).await {
            return;
        }
    }
}

/// Appends one chunk of waiting results; returns false if a call to the store failed.
async fn append(dispatcher: &Dispatcher, epoch: u64) -> bool {
    let writer = format!("{}-{epoch}", dispatcher.cfg.node);
    let max_bytes = dispatcher.cfg.value_bytes / CHUNK_DIVISOR;
    let unix_ms = unix_ms();
    let chunk = dispatcher
        .state
        .borrow_mut()
        .log
        .next_chunk(&writer, unix_ms, max_bytes);
    let Some(chunk) = chunk else {
        return true;
    };
    let began = now();
    match create_chunk(&dispatcher.store, &chunk).await {
        Ok(()) => {
            apply_stored(dispatcher, epoch, &chunk, began);
            dispatcher
                .metrics
                .record_latency("append", now().since(began));
            true
        }
        Err(StoreError::Conflict) => resolve(dispatcher, epoch, &chunk, began).await,
        Err(err) => {
            event(log::Level::Warn, "append-failed", || {
                format!("chunk={} reason=\"{err}\"", chunk.index)
            });
            dispatcher.metrics.record_retry("append-failed");
            false
        }
    }
}

/// Applies the chunk that already has the number of `chunk`: it was written by this dispatcher, if
/// the answer to an earlier write was lost, or by another leader.
async fn resolve(dispatcher: &Dispatcher, epoch: u64, chunk: &ResultChunk, began: Millis) -> bool {
    match read_chunk(&dispatcher.store, chunk.index).await {
        Ok(Some(found)) => {
            apply_stored(dispatcher, epoch, &found, began);
            true
        }
        Ok(None) => false,
        Err(err) => {
            event(log::Level::Warn, "append-unresolved", || {
                format!("chunk={} reason=\"{err}\"", chunk.index)
            });
            false
        }
    }
}

/// Applies a chunk that is in the store as of `began`, and logs its results as listed.
fn apply_stored(dispatcher: &Dispatcher, epoch: u64, chunk: &ResultChunk, began: Millis) {
    if !dispatcher.leads_in(epoch) {
        return;
    }
    let mut state = dispatcher.state.borrow_mut();
    apply(&mut state, chunk);
    state.log_verified_at = began.max(state.log_verified_at);
    drop(state);
    event(log::Level::Info, "results-listed", || {
        let items: Vec<String> = chunk
            .samples
            .iter()
            .map(|one| one.key.to_string())
            .collect();
        format!(
            "chunk={} epoch={epoch} items={}",
            chunk.index,
            items.join(",")
        )
    });
    dispatcher.listed.notify(usize::MAX);
}

/// Applies a chunk that is in the store to the result log and marks its items as done.
pub fn apply(state: &mut State, chunk: &ResultChunk) {
    if !state.log.apply(chunk) {
        return;
    }
    state.chunks.insert(chunk.index, chunk.written_unix_ms);
    for sample in &chunk.samples {
        state.finish(&sample.key);
    }
}

/// Checks that this dispatcher knows all listed results, as of less than `max_age` ago; reads
/// chunks that it lacks. Returns false if it can't tell.
pub async fn verify(dispatcher: &Dispatcher, max_age: Millis) -> bool {
    loop {
        let (epoch, verified, next) = {
            let state = dispatcher.state.borrow();
            let Some(epoch) = state.leading_epoch() else {
                return false;
            };
            (epoch, state.log_verified_at, state.log.next_chunk_index())
        };
        if now().since(verified) < max_age {
            return true;
        }
        let began = now();
        match read_chunk(&dispatcher.store, next).await {
            Ok(None) if dispatcher.leads_in(epoch) => {
                let mut state = dispatcher.state.borrow_mut();
                state.log_verified_at = began.max(state.log_verified_at);
            }
            Ok(None) => return false,
            // An own chunk whose answer was lost, or one of a previous leader.
            Ok(Some(found)) => apply_stored(dispatcher, epoch, &found, began),
            Err(err) => {
                event(log::Level::Warn, "verify-failed", || {
                    format!("reason=\"{err}\"")
                });
                return false;
            }
        }
    }
}

/// Reads results of a job that are only in their chunks back into memory: those without the first `after`
/// that fit into about `max_bytes`.
///
/// # Errors
///
/// [`StoreError`] if a chunk can't be read.
pub async fn reload(
    dispatcher: &Dispatcher,
    job: &str,
    after: usize,
    max_bytes: usize,
) -> Result<(), StoreError> {
    let missing = dispatcher
        .state
        .borrow()
        .log
        .missing_chunks(job, after, max_bytes);
    // The first positions come last: they are the last to leave the memory again.
    for index in missing.into_iter().rev() {
        let chunk = read_chunk(&dispatcher.store, index).await?;
        let chunk = chunk.ok_or_else(|| {
            StoreError::no_answer(format!("chunk {index} of the results is missing"))
        })?;
        dispatcher.metrics.count_event("results_reloaded");
        dispatcher.state.borrow_mut().log.reload(&chunk);
    }
    Ok(())
}
