//! Lists and watches all objects of one kind.

use super::gate::Gate;
use super::on_disconnect::OnDisconnect;
use super::store_client::StoreClient;
use super::store_error::StoreError;
use super::watch_event::WatchEvent;
use crate::prelude::*;
use oleander_platform::decode_error::DecodeError;
use oleander_platform::object_change::ObjectChange;
use oleander_platform::object_page::ObjectPage;
use oleander_platform::stored_object::StoredObject;
use std::rc::Rc;

/// Longest wait of one watch call where it need not show that the copy is current.
pub const WATCH_WAIT: Millis = Millis::from_secs(25);
/// Pause after the first failure; it doubles with each further one in a row.
const RETRY_PAUSE_MIN: Millis = Millis(50);
/// Longest pause between two attempts.
const RETRY_PAUSE_MAX: Millis = Millis(400);

/// Lists the objects of a kind and watches them while `gate` is open; passes every event to `apply`
/// until it returns false. A call that watches waits for at most `wait`.
///
/// After `gate` was closed the kind is listed again. With [`OnDisconnect::Resume`] nothing is listed, and the
/// function returns when the store no longer has the changes.
pub async fn follow(
    store: Rc<StoreClient>,
    kind: &'static str,
    (on_disconnect, wait): (OnDisconnect, Millis),
    gate: Gate,
    mut apply: impl FnMut(WatchEvent) -> bool,
) {
    let mut revision = match on_disconnect {
        OnDisconnect::List => None,
        OnDisconnect::Resume { from } => Some(from),
    };
    let mut failures = 0;
    loop {
        if !gate.is_open() {
            gate.opened().await;
            revision = None;
        }
        let step = match revision {
            None => list(&store, kind, &mut apply).await,
            Some(from) => watch(&store, kind, (from, wait), &mut apply).await,
        };
        match step {
            Ok(None) => return,
            Ok(next) => {
                revision = next;
                if failures > 0 {
                    event(log::Level::Info, "store-regained", || {
                        format!("kind={kind}")
                    });
                    failures = 0;
                    apply(WatchEvent::Regained);
                }
            }
            Err(StoreError::HistoryGone) => {
                event(log::Level::Info, "history-gone", || format!("kind={kind}"));
                if on_disconnect != OnDisconnect::List {
                    return;
                }
                revision = None;
            }
            Err(err) => {
                if failures == 0 {
                    event(log::Level::Warn, "store-lost", || {
                        format!("kind={kind} reason=\"{err}\"")
                    });
                    apply(WatchEvent::Lost);
                }
                sleep(pause(failures)).await;
                failures += 1;
                if on_disconnect == OnDisconnect::List {
                    revision = None;
                }
            }
        }
    }
}

fn pause(failures: u32) -> Millis {
    let doubled = RETRY_PAUSE_MIN.0 << failures.min(8);
    Millis(doubled.min(RETRY_PAUSE_MAX.0))
}

/// Reads all objects of a kind and the revision to watch from; logs unreadable ones.
///
/// # Errors
///
/// The error of the first page that could not be read.
async fn list_all(store: &StoreClient, kind: &str) -> Result<(Vec<StoredObject>, u64), StoreError> {
    let pages = list_pages(store, kind, None).await?;
    // Watching from the revision of the first page repeats changes made between two pages.
    let revision = pages.first().map_or(0, |page| page.revision);
    for page in &pages {
        log_unreadable(kind, &page.errors);
    }
    let all = pages.into_iter().flat_map(|page| page.objects);
    Ok((all.collect(), revision))
}

/// Reads all pages of the objects of a kind whose names come after `after`, at least one page.
///
/// # Errors
///
/// The error of the first page that could not be read.
pub async fn list_pages(
    store: &StoreClient,
    kind: &str,
    mut after: Option<String>,
) -> Result<Vec<ObjectPage>, StoreError> {
    let mut pages = Vec::new();
    loop {
        let page = store.page(kind, after.as_deref()).await?;
        let next = page.last_name.clone().filter(|_| page.has_more);
        pages.push(page);
        match next {
            Some(last) => after = Some(last),
            None => return Ok(pages),
        }
    }
}

/// Lists a kind once; returns the revision to watch from, or `None` if `apply` returned false.
async fn list(
    store: &StoreClient,
    kind: &str,
    apply: &mut impl FnMut(WatchEvent) -> bool,
) -> Result<Option<u64>, StoreError> {
    let started_at = now();
    let (all, revision) = list_all(store, kind).await?;
    let continues = apply(WatchEvent::All(all, revision)) && apply(WatchEvent::Current(started_at));
    Ok(continues.then_some(revision))
}

/// Watches a kind once; returns the revision to go on from, or `None` if `apply` returned false.
async fn watch(
    store: &StoreClient,
    kind: &str,
    (from, wait): (u64, Millis),
    apply: &mut impl FnMut(WatchEvent) -> bool,
) -> Result<Option<u64>, StoreError> {
    let started_at = now();
    let page = store.watch(kind, from, wait).await?;
    log_unreadable(kind, &page.errors);
    for change in page.changes {
        let continues = match change {
            ObjectChange::Put(object) => apply(WatchEvent::Put(object)),
            ObjectChange::Gone(name) => apply(WatchEvent::Gone(name)),
        };
        if !continues {
            return Ok(None);
        }
    }
    Ok(apply(WatchEvent::Current(started_at)).then_some(page.revision))
}

/// Logs the objects of a page that can't be decoded.
pub fn log_unreadable(kind: &str, faults: &[DecodeError]) {
    for err in faults {
        event(log::Level::Warn, "object-unreadable", || {
            format!("kind={kind} reason=\"{err}\"")
        });
    }
}
