//! Follows all objects of one kind.

use super::client::StoreClient;
use super::gate::Gate;
use super::store_error::StoreError;
use crate::prelude::*;
use oleander_platform::decode_fault::DecodeFault;
use oleander_platform::object::{ObjectChange, ObjectPage, StoredObject};
use std::rc::Rc;

/// Longest wait of one watch.
const WATCH_WAIT: Millis = Millis::from_secs(25);
/// Pause after the first failure; it doubles with each in a row.
const FIRST_PAUSE: Millis = Millis(50);
/// Longest pause between two tries.
const LONGEST_PAUSE: Millis = Millis(400);

/// What following a kind brings.
#[derive(Debug)]
pub enum Followed {
    /// All objects, at a revision of the store.
    All(Vec<StoredObject>, u64),
    /// An object was created or changed.
    Put(StoredObject),
    /// An object is gone.
    Gone(String),
    /// The store answers again after it could not be reached.
    Regained,
    /// The store can't be reached.
    Lost,
}

/// What to do when a watch broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterBreak {
    /// List the kind anew: a store that lost its history may be silent on a resumed watch for
    /// seconds.
    List,
    /// Resume the watch, because the kind is large and its objects are also heard of otherwise.
    Resume,
}

/// Follows all objects of a kind while `gate` is open, until `apply` returns false.
pub async fn follow(
    store: Rc<StoreClient>,
    kind: &'static str,
    after_break: AfterBreak,
    gate: Gate,
    mut apply: impl FnMut(Followed) -> bool,
) {
    let mut revision = None;
    let mut failures = 0;
    loop {
        if !gate.is_open() {
            gate.opened().await;
            revision = None;
        }
        let step = match revision {
            None => list(&store, kind, &mut apply).await,
            Some(from) => watch(&store, kind, from, &mut apply).await,
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
                    apply(Followed::Regained);
                }
            }
            Err(StoreError::HistoryGone) => {
                event(log::Level::Info, "history-gone", || format!("kind={kind}"));
                revision = None;
            }
            Err(err) => {
                if failures == 0 {
                    event(log::Level::Warn, "store-lost", || {
                        format!("kind={kind} reason=\"{err}\"")
                    });
                    apply(Followed::Lost);
                }
                sleep(pause(failures)).await;
                failures += 1;
                if after_break == AfterBreak::List {
                    revision = None;
                }
            }
        }
    }
}

fn pause(failures: u32) -> Millis {
    let doubled = FIRST_PAUSE.0 << failures.min(8);
    Millis(doubled.min(LONGEST_PAUSE.0))
}

/// Reads all objects of a kind.
///
/// # Errors
///
/// The error of the first page that could not be read.
async fn list_all(store: &StoreClient, kind: &str) -> Result<(Vec<StoredObject>, u64), StoreError> {
    let pages = list_pages(store, kind, None).await?;
    // Changes between two pages are seen again by watching from the first page's revision.
    let revision = pages.first().map_or(0, |page| page.revision);
    for page in &pages {
        log_faults(kind, &page.faults);
    }
    let all = pages.into_iter().flat_map(|page| page.objects);
    Ok((all.collect(), revision))
}

/// Reads the pages of a kind behind the name `after`; there is at least one.
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
        let next = page.last_name.clone().filter(|_| page.more);
        pages.push(page);
        match next {
            Some(last) => after = Some(last),
            None => return Ok(pages),
        }
    }
}

async fn list(
    store: &StoreClient,
    kind: &str,
    apply: &mut impl FnMut(Followed) -> bool,
) -> Result<Option<u64>, StoreError> {
    let (all, revision) = list_all(store, kind).await?;
    Ok(apply(Followed::All(all, revision)).then_some(revision))
}

async fn watch(
    store: &StoreClient,
    kind: &str,
    from: u64,
    apply: &mut impl FnMut(Followed) -> bool,
) -> Result<Option<u64>, StoreError> {
    let page = store.watch(kind, from, WATCH_WAIT).await?;
    log_faults(kind, &page.faults);
    for change in page.changes {
        let go_on = match change {
            ObjectChange::Put(object) => apply(Followed::Put(object)),
            ObjectChange::Gone(name) => apply(Followed::Gone(name)),
        };
        if !go_on {
            return Ok(None);
        }
    }
    Ok(Some(page.revision))
}

fn log_faults(kind: &str, faults: &[DecodeFault]) {
    for err in faults {
        event(log::Level::Warn, "object-unreadable", || {
            format!("kind={kind} reason=\"{err}\"")
        });
    }
}
