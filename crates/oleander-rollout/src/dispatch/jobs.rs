//! Jobs and their ends, as the store tells them.

use super::dispatcher::Dispatcher;
use crate::prelude::*;
use crate::store::gate::Gate;
use crate::store::job_objects::{JOB_END_KIND, JOB_KIND, JobRecord, decode_record, read_job};
use crate::store::on_disconnect::OnDisconnect;
use crate::store::store_error::StoreError;
use crate::store::watch::follow;
use crate::store::watch_event::WatchEvent;
use oleander_platform::object::StoredObject;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_terms::JobTerms;
use std::cell::Cell;
use std::rc::Rc;

/// Failures after which an item is given up, where no route says it.
const ATTEMPTS_DEFAULT: u32 = 3;
/// Time within which results are due, where no route says it.
const DUE_DEFAULT: Millis = Millis::from_secs(10);
/// Time after which items may be given up, where no route says it.
const KEEP_DEFAULT: Millis = Millis::from_secs(60);

/// Follows jobs and their ends in `epoch`; returns when all that the store holds are known.
pub async fn follow_until_known(dispatcher: &Rc<Dispatcher>, epoch: u64) {
    // Ends come first: of a job that has ended no items are read.
    let ends = Rc::new(Cell::new(false));
    spawn(follow_ends(Rc::clone(dispatcher), epoch, Rc::clone(&ends)));
    wait_until_known(dispatcher, epoch, &ends).await;
    let jobs = Rc::new(Cell::new(false));
    spawn(follow_jobs(Rc::clone(dispatcher), epoch, Rc::clone(&jobs)));
    wait_until_known(dispatcher, epoch, &jobs).await;
}

async fn wait_until_known(dispatcher: &Dispatcher, epoch: u64, known: &Cell<bool>) {
    while !known.get() && holds_epoch(dispatcher, epoch) {
        let listener = dispatcher.changed.listen();
        if !known.get() {
            listener.await;
        }
    }
}

/// Whether a dispatcher has won `epoch` and not given it up; it may still be recovering.
pub fn holds_epoch(dispatcher: &Dispatcher, epoch: u64) -> bool {
    dispatcher.state.borrow().leadership.epoch() == Some(epoch)
}

/// Follows the ends of jobs; sets `known` when those that stand were read.
async fn follow_ends(dispatcher: Rc<Dispatcher>, epoch: u64, known: Rc<Cell<bool>>) {
    let store = Rc::clone(&dispatcher.store);
    let apply = move |change| {
        if !holds_epoch(&dispatcher, epoch) {
            return false;
        }
        match change {
            WatchEvent::All(objects, _) => {
                for object in &objects {
                    end(&dispatcher, &object.name);
                }
                known.set(true);
                dispatcher.notify();
            }
            WatchEvent::Put(object) => end(&dispatcher, &object.name),
            WatchEvent::Gone(_) | WatchEvent::Regained | WatchEvent::Lost => {}
        }
        true
    };
    follow(store, JOB_END_KIND, OnDisconnect::List, Gate::open(), apply).await;
}

/// Follows jobs; sets `known` when those that stand were read with all their parts.
async fn follow_jobs(dispatcher: Rc<Dispatcher>, epoch: u64, known: Rc<Cell<bool>>) {
    let store = Rc::clone(&dispatcher.store);
    let apply = move |change| {
        if !holds_epoch(&dispatcher, epoch) {
            return false;
        }
        let (objects, is_all) = match change {
            WatchEvent::All(objects, _) => (objects, true),
            WatchEvent::Put(object) => (vec![object], false),
            WatchEvent::Gone(_) | WatchEvent::Regained | WatchEvent::Lost => return true,
        };
        let (dispatcher, known) = (Rc::clone(&dispatcher), Rc::clone(&known));
        spawn(async move {
            for object in objects {
                accept_object(&dispatcher, epoch, &object).await;
            }
            if is_all {
                known.set(true);
                dispatcher.notify();
            }
        });
        true
    };
    follow(store, JOB_KIND, OnDisconnect::Resume, Gate::open(), apply).await;
}

async fn accept_object(dispatcher: &Dispatcher, epoch: u64, object: &StoredObject) {
    if dispatcher.state.borrow().jobs.contains_key(&object.name) {
        return;
    }
    if dispatcher.state.borrow().ended.contains(&object.name) {
        accept_ended(dispatcher, object);
        return;
    }
    match read_job(&dispatcher.store, object).await {
        Ok(job) if holds_epoch(dispatcher, epoch) => accept(dispatcher, job),
        Ok(_) => {}
        Err(err) => event(log::Level::Error, "job-unreadable", || {
            format!("job={} reason=\"{err}\"", object.name)
        }),
    }
}

/// Takes a job that has ended.
fn accept_ended(dispatcher: &Dispatcher, object: &StoredObject) {
    match decode_record(object) {
        Ok(record) => {
            let mut state = dispatcher.state.borrow_mut();
            state.jobs.insert(object.name.clone(), record);
        }
        Err(err) => event(log::Level::Error, "job-unreadable", || {
            format!("job={} reason=\"{err}\"", object.name)
        }),
    }
}

/// Takes an accepted job.
pub fn accept(dispatcher: &Dispatcher, job: Job) {
    let unix_ms = u64::try_from(unix_ms()).unwrap_or_default();
    let age = Millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    let terms = terms_of(dispatcher, &job);
    let record = JobRecord {
        total: job.items.len(),
        submitted_unix_ms: job.submitted_unix_ms,
    };
    let mut state = dispatcher.state.borrow_mut();
    let id = job.id.clone();
    if state.jobs.insert(id.clone(), record).is_some() {
        return;
    }
    event(log::Level::Info, "job-known", || {
        format!(
            "job={id} model={} step={:?} items={} oldest_version={} age={age}",
            job.model, job.step, record.total, job.oldest_version
        )
    });
    let keys: Vec<String> = job.items.iter().map(|item| item.id.clone()).collect();
    state.board.accept(job, terms, now().since(age));
    for item in keys {
        let key = oleanderlock::batch::item_key::ItemKey {
            job: id.clone(),
            item,
        };
        if state.log.is_known(&key) {
            state.board.finish(&key);
        }
    }
    if state.ended.contains(&id) {
        state.board.end(&id);
    }
    drop(state);
    dispatcher.schedule();
}

fn terms_of(dispatcher: &Dispatcher, job: &Job) -> JobTerms {
    let view = dispatcher.view.get();
    let route = view.routes.as_ref();
    let route = route.and_then(|routes| routes.find(&job.host, &job.path));
    route.map_or(
        JobTerms {
            attempts: ATTEMPTS_DEFAULT,
            due_after: DUE_DEFAULT,
            keep: KEEP_DEFAULT,
            single_version: false,
        },
        |route| JobTerms {
            attempts: route.attempts,
            due_after: route.run_objective,
            keep: route.keep,
            single_version: route.single_version,
        },
    )
}

/// Ends a job: agents drop its items.
pub fn end(dispatcher: &Dispatcher, id: &str) {
    let mut state = dispatcher.state.borrow_mut();
    if !state.ended.insert(id.to_owned()) {
        return;
    }
    let running = state.board.end(id);
    state.checkpoints.remove_job(id);
    event(log::Level::Info, "job-ended", || {
        format!(
            "job={id} dropped={} listed={}",
            running.len(),
            state.log.count(id)
        )
    });
    for (agent, key) in running {
        state.outbox(&agent).drop.push(key.to_string());
    }
    drop(state);
    dispatcher.schedule();
}

/// Makes sure that a job is known if the store has it.
///
/// # Errors
///
/// An error of the store; `Ok(false)` means that there is no such job.
pub async fn is_known(dispatcher: &Dispatcher, id: &str) -> Result<bool, StoreError> {
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
    accept_object(dispatcher, epoch, &object).await;
    Ok(dispatcher.state.borrow().jobs.contains_key(id))
}
