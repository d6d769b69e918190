//! Recovery of the result log by a new leader: before it leads it reads the newest chunks, which
//! hold all results of jobs that have not ended; it reads older ones while it leads.

use super::dispatcher::Dispatcher;
use super::newest_chunks::NewestChunks;
use super::{commit, jobs};
use crate::prelude::*;
use crate::store::job_objects::{RESULT_KIND, chunk_name, decode_chunk};
use crate::store::store_error::StoreError;
use crate::store::watch::list_pages;
use oleander_platform::object_page::ObjectPage;
use oleanderlock::batch::result_chunk::ResultChunk;
use std::rc::Rc;

/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Millis = Millis(200);
/// Pause after each page of older chunks, which leaves the processor to more urgent work.
const OLDER_PAUSE: Millis = Millis(100);

/// Reads the chunks from number `from` on; retries until the store answers. Returns `None` if this
/// dispatcher no longer holds `epoch`.
pub async fn read_newest_chunks(
    dispatcher: &Dispatcher,
    epoch: u64,
    from: u64,
) -> Option<NewestChunks> {
    while jobs::holds_epoch(dispatcher, epoch) {
        if dispatcher.view.get().newer_leader(epoch).is_some() {
            return None;
        }
        match fetch_newest_chunks(dispatcher, from).await {
            Ok(chunks) => return Some(apply_newest_chunks(dispatcher, &chunks, from)),
            Err(err) => event(log::Level::Warn, "recovery-failed", || {
                format!("epoch={epoch} reason=\"{err}\"")
            }),
        }
        sleep(STORE_RETRY_PAUSE).await;
    }
    None
}

/// Reads the chunks from number `from` on, or all if there is none.
async fn fetch_newest_chunks(
    dispatcher: &Dispatcher,
    from: u64,
) -> Result<Vec<ResultChunk>, StoreError> {
    let chunks = chunks_from(dispatcher, from).await?;
    if chunks.is_empty() && from > 0 {
        return chunks_from(dispatcher, 0).await;
    }
    Ok(chunks)
}

fn apply_newest_chunks(dispatcher: &Dispatcher, chunks: &[ResultChunk], from: u64) -> NewestChunks {
    let mut state = dispatcher.state.borrow_mut();
    for chunk in chunks {
        commit::apply(&mut state, chunk);
    }
    let first_chunk = chunks.first().map_or(0, |chunk| chunk.index);
    NewestChunks {
        first_chunk,
        result_count: chunks.iter().map(|chunk| chunk.samples.len()).sum(),
        has_older: from > 0 && first_chunk > 0,
    }
}

/// Reads the chunks from number `from` on and the one before, so that the numbers continue even if
/// there is none from `from` on.
async fn chunks_from(dispatcher: &Dispatcher, from: u64) -> Result<Vec<ResultChunk>, StoreError> {
    let after = from.checked_sub(2).map(chunk_name);
    let pages = list_pages(&dispatcher.store, RESULT_KIND, after).await?;
    let mut chunks = Vec::new();
    for page in &pages {
        chunks.extend(decode(page)?);
    }
    Ok(chunks)
}

fn decode(page: &ObjectPage) -> Result<Vec<ResultChunk>, StoreError> {
    if let Some(err) = page.errors.first() {
        return Err(StoreError::no_answer(err));
    }
    page.objects.iter().map(decode_chunk).collect()
}

/// Reads the chunks before number `before` and adds them to the result log, while this dispatcher
/// leads in `epoch`.
pub async fn read_older(dispatcher: Rc<Dispatcher>, epoch: u64, before: u64) {
    let began = now();
    let mut chunks: Vec<ResultChunk> = Vec::new();
    let mut after: Option<String> = None;
    while dispatcher.leads_in(epoch) {
        let page = dispatcher.store.page(RESULT_KIND, after.as_deref()).await;
        let read = page.and_then(|page| Ok((decode(&page)?, page)));
        let (read, page) = match read {
            Ok(read) => read,
            Err(err) => {
                event(log::Level::Warn, "history-failed", || {
                    format!("epoch={epoch} reason=\"{err}\"")
                });
                sleep(STORE_RETRY_PAUSE).await;
                continue;
            }
        };
        let count = read.len();
        chunks.extend(read.into_iter().filter(|chunk| chunk.index < before));
        let reached = chunks.len() < count || !page.has_more || page.last_name.is_none();
        after = page.last_name;
        if reached {
            prepend_older(&dispatcher, epoch, chunks, began);
            return;
        }
        sleep(OLDER_PAUSE).await;
    }
}

fn prepend_older(dispatcher: &Dispatcher, epoch: u64, chunks: Vec<ResultChunk>, began: Millis) {
    if !dispatcher.leads_in(epoch) {
        return;
    }
    event(log::Level::Info, "history-read", || {
        let took = now().since(began);
        format!("epoch={epoch} chunks={} took={took}", chunks.len())
    });
    let mut state = dispatcher.state.borrow_mut();
    let state = &mut *state;
    for chunk in &chunks {
        state.chunks.insert(chunk.index, chunk.written_unix_ms);
    }
    // Jobs that this dispatcher does not know have been deleted; it read all others before leading.
    state
        .log
        .prepend(chunks, |job| state.jobs.contains_key(job));
    state.jobs_with_unread_results.clear();
    dispatcher.notify();
}
