//! Jobs and their end marks, as read from the store.

use super::dispatcher::Dispatcher;
use super::job_terms::{policy_by_route, policy_without_route};
use super::state::State;
use crate::prelude::*;
use crate::store::changes::read_changes;
use crate::store::gate::Gate;
use crate::store::job_objects::{JOB_END_KIND, JOB_KIND, decode_record, read_job};
use crate::store::job_record::JobRecord;
use crate::store::on_disconnect::OnDisconnect;
use crate::store::store_error::StoreError;
use crate::store::watch::{WATCH_WAIT, follow, log_unreadable};
use crate::store::watch_event::WatchEvent;
use oleander_platform::stored_object::StoredObject;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::open_jobs::OpenJobs;
use oleanderlock::routing::route_table::RouteTable;
use std::cell::Cell;
use std::rc::Rc;

/// Pause after a page of jobs that could not be read.
const STORE_RETRY_PAUSE: Millis = Millis(100);
/// Pause before jobs are read again that could not be read.
const UNREAD_RETRY_PAUSE: Millis = Millis(500);
/// Largest difference between the wall clocks of two processes.
const CLOCK_DIFFERENCE_MAX: Millis = Millis::from_secs(60);

/// Starts to watch jobs and their end marks in `epoch`; returns when all stored ones were read.
pub async fn watch_and_read_all(dispatcher: &Rc<Dispatcher>, epoch: u64) {
    // End marks come first, so that no items of ended jobs are read.
    let ends_read = Rc::new(Cell::new(false));
    spawn(read_ends(
        Rc::clone(dispatcher),
        epoch,
        Rc::clone(&ends_read),
    ));
    wait_until_read(dispatcher, epoch, &ends_read).await;
    let jobs_read = Rc::new(Cell::new(false));
    spawn(watch_jobs(
        Rc::clone(dispatcher),
        epoch,
        Rc::clone(&jobs_read),
    ));
    wait_until_read(dispatcher, epoch, &jobs_read).await;
}

async fn wait_until_read(dispatcher: &Dispatcher, epoch: u64, read: &Cell<bool>) {
    while !read.get() && holds_epoch(dispatcher, epoch) {
        let listener = dispatcher.changed.listen();
        if !read.get() {
            listener.await;
        }
    }
}

/// Whether a dispatcher has won `epoch` and not given it up; it may still be recovering.
pub fn holds_epoch(dispatcher: &Dispatcher, epoch: u64) -> bool {
    dispatcher.state.borrow().leadership.epoch() == Some(epoch)
}

/// Reads the end marks of jobs again and again, and records up to when all are known; sets `read` when all
/// stored ones were read.
async fn read_ends(dispatcher: Rc<Dispatcher>, epoch: u64, read: Rc<Cell<bool>>) {
    let interval = OpenJobs::list_interval(dispatcher.cfg.end_within);
    let mut from = None;
    let mut failing = false;
    while holds_epoch(&dispatcher, epoch) {
        let started_at = now();
        let changes = read_changes(&dispatcher.store, JOB_END_KIND, from).await;
        if !holds_epoch(&dispatcher, epoch) {
            return;
        }
        let pause = match changes {
            Ok((marks, revision)) => {
                for mark in &marks {
                    end(&dispatcher, &mark.name);
                }
                dispatcher.ends_confirmation.record(started_at);
                from = Some(revision);
                failing = false;
                if !read.replace(true) {
                    dispatcher.notify();
                }
                interval
            }
            Err(err) => {
                if err == StoreError::HistoryGone {
                    from = None;
                }
                if !failing {
                    event(log::Level::Warn, "ends-unread", || {
                        format!("epoch={epoch} reason=\"{err}\"")
                    });
                }
                failing = true;
                STORE_RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

/// Reads all stored jobs with all their parts, then sets `read` and watches jobs; reads all again when the
/// store no longer has the changes.
async fn watch_jobs(dispatcher: Rc<Dispatcher>, epoch: u64, read: Rc<Cell<bool>>) {
    while let Some((from, unread)) = read_stored(&dispatcher, epoch).await {
        read.set(true);
        dispatcher.notify();
        spawn_retry(&dispatcher, epoch, unread);
        let applying = Rc::clone(&dispatcher);
        let apply = move |change| {
            if !holds_epoch(&applying, epoch) {
                return false;
            }
            if let WatchEvent::Put(object) = change {
                let dispatcher = Rc::clone(&applying);
                spawn(async move {
                    let unread = accept_objects(&dispatcher, epoch, vec![object]).await;
                    retry_unread(&dispatcher, epoch, unread).await;
                });
            }
            true
        };
        let mode = (OnDisconnect::Resume { from }, WATCH_WAIT);
        let store = Rc::clone(&dispatcher.store);
        follow(store, JOB_KIND, mode, Gate::open(), apply).await;
    }
}

/// Reads and accepts all stored jobs, one page after the other: all at once would take the memory of minutes
/// of ended jobs. Returns the revision from which to watch, and the jobs that could not be read; `None` if this
/// dispatcher no longer holds `epoch`.
async fn read_stored(dispatcher: &Dispatcher, epoch: u64) -> Option<(u64, Vec<StoredObject>)> {
    let mut unread = Vec::new();
    let mut from = None;
    let mut after: Option<String> = None;
    while holds_epoch(dispatcher, epoch) {
        let page = match dispatcher.store.page(JOB_KIND, after.as_deref()).await {
            Ok(page) => page,
            Err(err) => {
                event(log::Level::Warn, "jobs-unread", || {
                    format!("epoch={epoch} reason=\"{err}\"")
                });
                sleep(STORE_RETRY_PAUSE).await;
                continue;
            }
        };
        log_unreadable(JOB_KIND, &page.errors);
        // Watching from the revision of the first page repeats changes made between two pages.
        let from = *from.get_or_insert(page.revision);
        let next = page.last_name.filter(|_| page.has_more);
        unread.extend(accept_objects(dispatcher, epoch, page.objects).await);
        if next.is_none() {
            return Some((from, unread));
        }
        after = next;
    }
    None
}

fn spawn_retry(dispatcher: &Rc<Dispatcher>, epoch: u64, unread: Vec<StoredObject>) {
    let dispatcher = Rc::clone(dispatcher);
    spawn(async move { retry_unread(&dispatcher, epoch, unread).await });
}

/// Accepts jobs from their objects; returns those that could not be read.
async fn accept_objects(
    dispatcher: &Dispatcher,
    epoch: u64,
    objects: Vec<StoredObject>,
) -> Vec<StoredObject> {
    let mut unread = Vec::new();
    for object in objects {
        if let Err(err) = accept_object(dispatcher, epoch, &object).await {
            event(log::Level::Error, "job-unreadable", || {
                format!("job={} reason=\"{err}\"", object.name)
            });
            let mut state = dispatcher.state.borrow_mut();
            state.unread_jobs.insert(object.name.clone());
            drop(state);
            unread.push(object);
        } else {
            let mut state = dispatcher.state.borrow_mut();
            state.unread_jobs.shift_remove(&object.name);
        }
    }
    unread
}

/// Tries to read jobs again until all are read or this dispatcher no longer holds `epoch`: an accepted
/// job whose parts the store refused once must run.
async fn retry_unread(dispatcher: &Dispatcher, epoch: u64, mut unread: Vec<StoredObject>) {
    while !unread.is_empty() && holds_epoch(dispatcher, epoch) {
        sleep(UNREAD_RETRY_PAUSE).await;
        unread = accept_objects(dispatcher, epoch, unread).await;
    }
}

/// Accepts a job from its object, unless it is known already; does nothing if this dispatcher no longer
/// holds `epoch`.
///
/// # Errors
///
/// [`StoreError`] if the job or a part of it can't be read.
async fn accept_object(
    dispatcher: &Dispatcher,
    epoch: u64,
    object: &StoredObject,
) -> Result<(), StoreError> {
    if dispatcher.state.borrow().jobs.contains_key(&object.name) {
        return Ok(());
    }
    if dispatcher.state.borrow().ended.contains(&object.name) {
        let record = decode_record(object)?;
        let mut state = dispatcher.state.borrow_mut();
        state.jobs.insert(object.name.clone(), record);
        return Ok(());
    }
    let job = read_job(&dispatcher.store, object).await?;
    if holds_epoch(dispatcher, epoch) {
        accept(dispatcher, job);
    }
    Ok(())
}

/// Schedules the items of a job that was accepted, except those that have a result.
pub fn accept(dispatcher: &Dispatcher, job: Job) {
    let unix_ms = unix_ms();
    let age = Millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    let routes = dispatcher.view.get().routes.clone();
    let workspace = job.workspace.as_deref();
    let policy = routes
        .as_ref()
        .and_then(|routes| policy_by_route(routes, &job.host, &job.path, workspace));
    let without_route = routes.filter(|_| policy.is_none());
    let record = JobRecord {
        total: job.items.len(),
        submitted_unix_ms: job.submitted_unix_ms,
        workspace: job.workspace.clone(),
    };
    let total = record.total;
    let mut state = dispatcher.state.borrow_mut();
    let id = job.id.clone();
    if state.jobs.insert(id.clone(), record).is_some() {
        return;
    }
    event(log::Level::Info, "job-known", || {
        format!(
            "job={id} model={} step={:?} items={} oldest_version={} age={age}",
            job.model, job.step, total, job.oldest_version
        )
    });
    let keys: Vec<String> = job.items.iter().map(|item| item.id.clone()).collect();
    let policy = policy.unwrap_or_else(policy_without_route);
    state.scheduler.accept(job, policy, now().since(age));
    if let Some(routes) = without_route {
        remove_route(&mut state, &id, &routes);
    }
    let age_min = age.since(CLOCK_DIFFERENCE_MAX);
    state.scheduler.keep_from(&id, now().since(age_min));
    for item in keys {
        let key = ItemKey {
            job: id.clone(),
            item,
        };
        if state.log.is_known(&key) {
            state.scheduler.finish(&key);
        }
    }
    if state.ended.contains(&id) {
        state.scheduler.end(&id);
    }
    drop(state);
    dispatcher.schedule();
}

/// Takes the terms of all open jobs from the configuration, if it has changed since the last call. A
/// job whose route was removed loses its services.
pub fn refresh_policies(dispatcher: &Dispatcher, state: &mut State) {
    let view = dispatcher.view.get();
    let Some(routes) = &view.routes else {
        return;
    };
    if state.policies_version == Some(routes.config.version) {
        return;
    }
    state.policies_version = Some(routes.config.version);
    let open = state.scheduler.open_jobs();
    let terms = open.map(|job| {
        let policy = policy_by_route(routes, &job.host, &job.path, job.workspace.as_deref());
        (job.id.clone(), policy)
    });
    let terms: Vec<(String, Option<JobPolicy>)> = terms.collect();
    for (id, policy) in terms {
        let Some(policy) = policy else {
            remove_route(state, &id, routes);
            continue;
        };
        let job = state.scheduler.job(&id);
        if job.is_some_and(|job| job.policy == policy && job.route_gone_since.is_none()) {
            continue;
        }
        event(log::Level::Info, "job-terms-changed", || {
            let version = routes.config.version;
            format!("job={id} config={version} policy={policy:?}")
        });
        state.scheduler.set_policy(&id, policy);
    }
}

fn remove_route(state: &mut State, id: &str, routes: &RouteTable) {
    let job = state.scheduler.job(id);
    if job.is_some_and(|job| job.route_gone_since.is_none()) {
        event(log::Level::Warn, "job-route-gone", || {
            format!("job={id} config={}", routes.config.version)
        });
    }
    state.scheduler.remove_route(id, now());
}

/// Ends a job: its items are no longer scheduled, and agents drop them.
pub fn end(dispatcher: &Dispatcher, id: &str) {
    let mut state = dispatcher.state.borrow_mut();
    if !state.ended.insert(id.to_owned()) {
        return;
    }
    let running = state.scheduler.end(id);
    state.checkpoints.remove_job(id);
    event(log::Level::Info, "job-ended", || {
        format!(
            "job={id} dropped={} listed={}",
            running.len(),
            state.log.listed_count(id)
        )
    });
    for (agent, key) in running {
        state.outbox(&agent).drop.push(key.to_string());
    }
    drop(state);
    dispatcher.listed.notify(usize::MAX);
    dispatcher.schedule();
}

/// Returns whether a job exists; reads it from the store if it is not known yet.
///
/// # Errors
///
/// [`StoreError`], also if a part of the job can't be read; [`StoreError::NotDone`] also if this
/// dispatcher does not lead.
pub async fn exists(dispatcher: &Dispatcher, id: &str) -> Result<bool, StoreError> {
    let epoch = {
        let state = dispatcher.state.borrow();
        if state.jobs.contains_key(id) {
            return Ok(true);
        }
        state.leading_epoch()
    };
    let Some(epoch) = epoch else {
        return Err(StoreError::not_done("not leading"));
    };
    let Some(object) = dispatcher.store.get(JOB_KIND, id).await? else {
        return Ok(false);
    };
    accept_object(dispatcher, epoch, &object).await?;
    // The store has the job, so that a dispatcher that doesn't know it has lost its epoch.
    if dispatcher.state.borrow().jobs.contains_key(id) {
        Ok(true)
    } else {
        Err(StoreError::not_done("no longer leading"))
    }
}
