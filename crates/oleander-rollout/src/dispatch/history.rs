//! Recovery of the result log by a new leader: before it leads it reads the newest chunks, which
//! hold all results of jobs that have not ended; it reads older ones while it leads.

use super::dispatcher::Dispatcher;
use super::newest_chunks::NewestChunks;
use super::{commit, jobs};
use crate::prelude::*;
use crate::store::job_objects::{RESULT_KIND, chunk_name, decode_chunk};
use crate::store::store_error::StoreError;
use oleander_platform::object_page::ObjectPage;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::result_log::ResultLog;
use std::rc::Rc;

/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Millis = Millis(200);
/// Pause after each page of older chunks, which leaves the processor to more urgent work.
const OLDER_PAUSE: Millis = Millis(100);

/// Reads the chunks from number `from` on, page by page; retries until the store answers. Returns `None`
/// if this dispatcher no longer holds `epoch`.
pub async fn read_newest_chunks(
    dispatcher: &Dispatcher,
    epoch: u64,
    from: u64,
) -> Option<NewestChunks> {
    let mut read = NewestChunks::default();
    // The chunk before is read too, so that the numbers continue even if there is none from `from` on.
    let mut after = from.checked_sub(2).map(chunk_name);
    let mut from = from;
    while jobs::holds_epoch(dispatcher, epoch) {
        if dispatcher.view.get().newer_leader(epoch).is_some() {
            return None;
        }
        match read_page(dispatcher, after.as_deref()).await {
            Ok((chunks, page)) => {
                apply_newest_chunks(dispatcher, &chunks, &mut read);
                if page.has_more && page.last_name.is_some() {
                    after = page.last_name;
                } else if read.first_chunk.is_none() && from > 0 {
                    (after, from) = (None, 0);
                } else {
                    read.has_older = from > 0 && read.first_chunk.is_some_and(|first| first > 0);
                    return Some(read);
                }
            }
            Err(err) => {
                event(log::Level::Warn, "recovery-failed", || {
                    format!("epoch={epoch} reason=\"{err}\"")
                });
                sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
    None
}

fn apply_newest_chunks(dispatcher: &Dispatcher, chunks: &[ResultChunk], read: &mut NewestChunks) {
    let mut state = dispatcher.state.borrow_mut();
    for chunk in chunks {
        // Chunks between those of a job that stays open are deleted.
        state.log.skip_to(chunk.index);
        commit::apply(&mut state, chunk);
        read.first_chunk.get_or_insert(chunk.index);
        read.result_count += chunk.samples.len();
    }
}

async fn read_page(
    dispatcher: &Dispatcher,
    after: Option<&str>,
) -> Result<(Vec<ResultChunk>, ObjectPage), StoreError> {
    let page = dispatcher.store.page(RESULT_KIND, after).await?;
    if let Some(err) = page.errors.first() {
        return Err(StoreError::no_answer(err));
    }
    let chunks: Result<Vec<ResultChunk>, StoreError> =
        page.objects.iter().map(decode_chunk).collect();
    Ok((chunks?, page))
}

/// Reads the chunks before number `before` and adds them to the result log, while this dispatcher
/// leads in `epoch`.
pub async fn read_older(dispatcher: Rc<Dispatcher>, epoch: u64, before: u64) {
    let began = now();
    let mut older = ResultLog::with_budget(0);
    let mut written: Vec<(u64, u64)> = Vec::new();
    let mut after: Option<String> = None;
    while dispatcher.leads_in(epoch) {
        let (chunks, page) = match read_page(&dispatcher, after.as_deref()).await {
            Ok(read) => read,
            Err(err) => {
                event(log::Level::Warn, "history-failed", || {
                    format!("epoch={epoch} reason=\"{err}\"")
                });
                sleep(STORE_RETRY_PAUSE).await;
                continue;
            }
        };
        let is_last = !page.has_more || page.last_name.is_none();
        let reached = chunks.iter().any(|chunk| chunk.index >= before);
        for chunk in chunks.iter().filter(|chunk| chunk.index < before) {
            written.push((chunk.index, chunk.written_unix_ms));
            // Chunks between those of a job that stays open are deleted.
            older.skip_to(chunk.index);
            older.apply(chunk);
        }
        after = page.last_name;
        if reached || is_last {
            prepend_older(&dispatcher, epoch, (older, written), began);
            return;
        }
        sleep(OLDER_PAUSE).await;
    }
}

fn prepend_older(
    dispatcher: &Dispatcher,
    epoch: u64,
    (older, written): (ResultLog, Vec<(u64, u64)>),
    began: Millis,
) {
    if !dispatcher.leads_in(epoch) {
        return;
    }
    event(log::Level::Info, "history-read", || {
        let took = now().since(began);
        format!("epoch={epoch} chunks={} took={took}", written.len())
    });
    let mut state = dispatcher.state.borrow_mut();
    let state = &mut *state;
    state.chunks.extend(written);
    // Jobs that this dispatcher does not know have been deleted; it read all others before leading.
    state.log.prepend(older, |job| state.jobs.contains_key(job));
    state.jobs_with_unread_results.clear();
    dispatcher.notify();
}
