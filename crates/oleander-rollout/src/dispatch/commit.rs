//! Lists results: appends chunks to the log in the store, and makes sure that no other dispatcher
//! has.

use super::dispatcher::Dispatcher;
use super::state::State;
use crate::prelude::*;
use crate::store::job_objects::{create_chunk, read_chunk};
use crate::store::store_error::StoreError;
use oleanderlock::batch::result_chunk::ResultChunk;
use std::rc::Rc;

/// Time for which results gather before they are written together.
const GATHER: Millis = Millis(100);
/// Pause after the store failed.
const STORE_PAUSE: Millis = Millis(100);
/// Part of the greatest value that the samples of a chunk may take: one in this.
const CHUNK_PART: usize = 2;

/// Appends waiting results for as long as this dispatcher leads in `epoch`.
pub async fn run(dispatcher: Rc<Dispatcher>, epoch: u64) {
    while dispatcher.leads_in(epoch) {
        let listener = dispatcher.changed.listen();
        if !dispatcher.state.borrow().log.has_waiting() {
            listener.await;
            continue;
        }
        sleep(GATHER).await;
        if !append(&dispatcher, epoch).await {
            sleep(STORE_PAUSE).await;
        }
    }
}

/// Appends all that waits, unless the store fails.
pub async fn flush(dispatcher: &Dispatcher, epoch: u64) {
    while dispatcher.leads_in(epoch) && dispatcher.state.borrow().log.has_waiting() {
        if !append(dispatcher, epoch).await {
            return;
        }
    }
}

/// Appends one chunk; returns false when the store failed.
async fn append(dispatcher: &Dispatcher, epoch: u64) -> bool {
    let writer = format!("{}-{epoch}", dispatcher.cfg.node);
    let max_bytes = dispatcher.cfg.value_bytes / CHUNK_PART;
    let unix_ms = u64::try_from(unix_ms()).unwrap_or_default();
    let chunk = dispatcher
        .state
        .borrow_mut()
        .log
        .chunk(&writer, unix_ms, max_bytes);
    let Some(chunk) = chunk else {
        return true;
    };
    let began = now();
    match create_chunk(&dispatcher.store, &chunk).await {
        Ok(()) => {
            took_chunk(dispatcher, epoch, &chunk, began);
            dispatcher.metrics.took("append", now().since(began));
            true
        }
        Err(StoreError::Conflict) => resolve(dispatcher, epoch, &chunk, began).await,
        Err(err) => {
            event(log::Level::Warn, "append-failed", || {
                format!("chunk={} reason=\"{err}\"", chunk.index)
            });
            dispatcher.metrics.retried("append-failed");
            false
        }
    }
}

/// Finds out who took the number of a chunk: an own write whose answer was lost, or another leader.
async fn resolve(dispatcher: &Dispatcher, epoch: u64, chunk: &ResultChunk, began: Millis) -> bool {
    match read_chunk(&dispatcher.store, chunk.index).await {
        Ok(Some(found)) => {
            took_chunk(dispatcher, epoch, &found, began);
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

fn took_chunk(dispatcher: &Dispatcher, epoch: u64, chunk: &ResultChunk, began: Millis) {
    if !dispatcher.leads_in(epoch) {
        return;
    }
    let mut state = dispatcher.state.borrow_mut();
    apply(&mut state, chunk);
    state.log_verified = began.max(state.log_verified);
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
    dispatcher.notify();
}

/// Takes a chunk that stands in the store.
pub fn apply(state: &mut State, chunk: &ResultChunk) {
    if !state.log.apply(chunk) {
        return;
    }
    state.chunks.insert(chunk.index, chunk.written_unix_ms);
    for sample in &chunk.samples {
        state.finish(&sample.key);
    }
}

/// Makes sure that this dispatcher's results are all there are, as of less than `max_age` ago;
/// returns whether that is so.
pub async fn verify(dispatcher: &Dispatcher, max_age: Millis) -> bool {
    loop {
        let (epoch, verified, next) = {
            let state = dispatcher.state.borrow();
            let Some(epoch) = state.leading_epoch() else {
                return false;
            };
            (epoch, state.log_verified, state.log.next_index())
        };
        if now().since(verified) < max_age {
            return true;
        }
        let began = now();
        match read_chunk(&dispatcher.store, next).await {
            Ok(None) if dispatcher.leads_in(epoch) => {
                let mut state = dispatcher.state.borrow_mut();
                state.log_verified = began.max(state.log_verified);
            }
            Ok(None) => return false,
            // An own chunk whose answer was lost, or one of a dispatcher that led before.
            Ok(Some(found)) => took_chunk(dispatcher, epoch, &found, began),
            Err(err) => {
                event(log::Level::Warn, "verify-failed", || {
                    format!("reason=\"{err}\"")
                });
                return false;
            }
        }
    }
}
