//! Calls of entries about jobs: results, item bodies, ends, and jobs to be stored.

use super::dispatcher::Dispatcher;
use super::http_api::unreadable;
use super::{commit, jobs};
use crate::http::response::{self, FullResponse};
use crate::peer::messages::JobCaller;
use crate::prelude::*;
use crate::store::job_creation::JobCreation;
use crate::store::job_objects::{JOB_END_KIND, JOB_KIND, create_job};
use crate::store::store_error::StoreError;
use http::StatusCode;
use oleander_platform::job::body_bytes;
use oleander_platform::query::query_parameter;
use oleander_platform::results::encode_results;
use oleanderlock::batch::job::Job;
use oleanderlock::workspaces::job_access::may_use_job;
use serde_json::value::RawValue;
use smol::future::FutureExt as _;
use std::fmt::Display;

/// Largest sum of results in one response, in bytes.
const RESULTS_MAX_BYTES: usize = 900 << 10;
/// Longest wait for new results.
const WAIT_MAX: Millis = Millis(1000);
/// Percentage of the settle time for which a check that this dispatcher knows all results stays
/// valid.
const VERIFIED_PERCENT: u64 = 70;
/// Time for which the write of an end is repeated if it gets no answer.
const END_WRITE_TIME: Millis = Millis(2500);
/// Pause before the write of an end is repeated.
const END_RETRY_PAUSE: Millis = Millis(50);
/// Time after which a caller that got no reliable answer may try again.
const RETRY_AFTER: Millis = Millis(200);

/// Handles a call to `JOB/results`, `JOB/items/ITEM`, `JOB/end` or `JOB/accept` below the path of
/// jobs.
pub async fn handle(
    dispatcher: &Dispatcher,
    rest: &str,
    query: Option<&str>,
    body: &[u8],
) -> FullResponse {
    let mut parts = rest.splitn(3, '/');
    let job = parts.next().unwrap_or_default();
    let call = (parts.next(), parts.next());
    if call == (Some("accept"), None) {
        return accept(dispatcher, body).await;
    }
    let caller = match read_caller(body) {
        Ok(caller) => caller,
        Err(err) => return unreadable(&err),
    };
    let caller = caller.as_ref();
    match call {
        (Some("results"), None) => results(dispatcher, job, caller, query).await,
        (Some("items"), Some(item)) => item_body(dispatcher, job, caller, item).await,
        (Some("end"), None) => end(dispatcher, job, caller).await,
        _ => response::status(StatusCode::NOT_FOUND),
    }
}

/// Reads on whose behalf an entry calls; `None` in a deployment without workspaces.
fn read_caller(body: &[u8]) -> serde_json::Result<Option<JobCaller>> {
    if body.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(body).map(Some)
}

/// Returns a number from a query; 0 if it is missing or malformed.
fn number(query: Option<&str>, name: &str) -> u64 {
    let text = query_parameter(query, name);
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns the response for a job that does not exist for the caller, or of which this is
/// uncertain; `None` if the caller may use it.
async fn require_job(
    dispatcher: &Dispatcher,
    job: &str,
    caller: Option<&JobCaller>,
) -> Option<FullResponse> {
    match jobs::exists(dispatcher, job).await {
        Ok(true) if may_use(dispatcher, job, caller) => None,
        // The store is asked as for a job that does not exist, so that an outage of the store
        // doesn't tell the caller that the job exists.
        Ok(true) => match dispatcher.store.get(JOB_KIND, job).await {
            Ok(_) => Some(response::status(StatusCode::NOT_FOUND)),
            Err(err) => Some(uncertain(job, &err)),
        },
        Ok(false) => Some(response::status(StatusCode::NOT_FOUND)),
        Err(err) => Some(uncertain(job, &err)),
    }
}

/// Whether the caller may use a known job.
fn may_use(dispatcher: &Dispatcher, job: &str, caller: Option<&JobCaller>) -> bool {
    let Some(caller) = caller else {
        return true;
    };
    let state = dispatcher.state.borrow();
    let owner = state
        .jobs
        .get(job)
        .map(|record| record.workspace.as_deref());
    owner.is_some_and(|owner| may_use_job(owner, Some(&caller.workspace)))
}

/// Returns the response for a job about which nothing certain is known, and logs the reason.
fn uncertain(job: &str, reason: &impl Display) -> FullResponse {
    event(log::Level::Info, "job-unsure", || {
        format!("job={job} reason=\"{reason}\"")
    });
    response::refusal(RETRY_AFTER)
}

async fn results(
    dispatcher: &Dispatcher,
    job: &str,
    caller: Option<&JobCaller>,
    query: Option<&str>,
) -> FullResponse {
    if let Some(answer) = require_job(dispatcher, job, caller).await {
        return answer;
    }
    let after = usize::try_from(number(query, "after")).unwrap_or(usize::MAX);
    let wait = Millis(number(query, "wait_ms")).min(WAIT_MAX);
    within(wait, wait_for_results(dispatcher, job, after)).await;
    let max_age = Millis(dispatcher.cfg.settle.0 * VERIFIED_PERCENT / 100);
    if !commit::verify(dispatcher, max_age).await {
        return response::refusal(RETRY_AFTER);
    }
    if let Err(err) = commit::reload(dispatcher, job, after, RESULTS_MAX_BYTES).await {
        return uncertain(job, &err);
    }
    let state = dispatcher.state.borrow();
    if state.jobs_with_unread_results.contains(job) {
        return uncertain(
            job,
            &"the results of the ended job have not been read from the store yet",
        );
    }
    let Some(record) = state.jobs.get(job) else {
        return response::refusal(RETRY_AFTER);
    };
    let samples = state.log.read(job, after, RESULTS_MAX_BYTES);
    if samples.is_empty() && state.log.listed_count(job) > after {
        return uncertain(job, &"the results left the memory while they were read");
    }
    response::json(encode_results(record.total, after, &samples))
}

/// Waits until a job has more than `count` results, or this dispatcher no longer leads.
async fn wait_for_results(dispatcher: &Dispatcher, job: &str, count: usize) {
    loop {
        let changed = dispatcher.changed.listen();
        let listed = dispatcher.listed.listen();
        {
            let state = dispatcher.state.borrow();
            if state.leading_epoch().is_none() || state.log.listed_count(job) > count {
                return;
            }
        }
        changed.or(listed).await;
    }
}

async fn item_body(
    dispatcher: &Dispatcher,
    job: &str,
    caller: Option<&JobCaller>,
    item: &str,
) -> FullResponse {
    if let Some(answer) = require_job(dispatcher, job, caller).await {
        return answer;
    }
    let state = dispatcher.state.borrow();
    let found = state.scheduler.job(job).filter(|state| !state.ended);
    match found.and_then(|job| job.items.get(item)) {
        Some(item) => response::bytes(body_bytes(&item.item.body_base64)),
        None => response::status(StatusCode::NOT_FOUND),
    }
}

async fn end(dispatcher: &Dispatcher, job: &str, caller: Option<&JobCaller>) -> FullResponse {
    let has_ended = || dispatcher.state.borrow().ended.contains(job);
    if caller.is_none() && has_ended() {
        return response::status(StatusCode::OK);
    }
    if let Some(answer) = require_job(dispatcher, job, caller).await {
        return answer;
    }
    if has_ended() {
        return response::status(StatusCode::OK);
    }
    match write_end(dispatcher, job).await {
        Ok(()) => {
            jobs::end(dispatcher, job);
            response::status(StatusCode::OK)
        }
        Err(StoreError::NotDone { .. }) => response::refusal(RETRY_AFTER),
        // The mark may stand in the store, or come to stand there later.
        Err(StoreError::NoAnswer { .. } | StoreError::Conflict | StoreError::HistoryGone) => {
            response::status(StatusCode::BAD_GATEWAY)
        }
    }
}

/// Writes the end mark of a job. A write without an answer is repeated for up to [`END_WRITE_TIME`]:
/// the mark of the job is always the same, so that the repetition shows whether it stands.
///
/// # Errors
///
/// [`StoreError::NotDone`] if no write has taken effect or will, otherwise another one.
async fn write_end(dispatcher: &Dispatcher, job: &str) -> Result<(), StoreError> {
    let until = now().plus(END_WRITE_TIME);
    let mut may_be_written = false;
    loop {
        let written = dispatcher
            .store
            .create(JOB_END_KIND, job, RawValue::TRUE)
            .await;
        let err = match written {
            Ok(()) | Err(StoreError::Conflict) => return Ok(()),
            Err(err) => err,
        };
        event(log::Level::Warn, "end-failed", || {
            format!("job={job} reason=\"{err}\"")
        });
        may_be_written |= !matches!(err, StoreError::NotDone { .. });
        if !may_be_written {
            return Err(err);
        }
        if now() >= until {
            return Err(StoreError::no_answer(err));
        }
        sleep(END_RETRY_PAUSE).await;
    }
}

/// Stores a job for an entry whose own calls the store refuses.
async fn accept(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let job: Job = match serde_json::from_slice(body) {
        Ok(job) => job,
        Err(err) => {
            return unreadable(&err);
        }
    };
    let id = job.id.clone();
    let owned = job.workspace.is_some() || dispatcher.view.get().has_workspaces();
    let value_bytes = dispatcher.cfg.value_bytes;
    let written = create_job(&dispatcher.store, job.clone(), value_bytes, owned).await;
    event(log::Level::Info, "job-relayed", || {
        format!("request={id} result={written:?}")
    });
    match written {
        Ok(JobCreation::Created) => {
            jobs::accept(dispatcher, job);
            response::status(StatusCode::OK)
        }
        Ok(JobCreation::Existing) => response::status(StatusCode::CONFLICT),
        Ok(JobCreation::Foreign) => response::status(StatusCode::FORBIDDEN),
        Err(StoreError::NotDone { .. }) => response::refusal(RETRY_AFTER),
        Err(StoreError::NoAnswer { .. } | StoreError::Conflict | StoreError::HistoryGone) => {
            response::status(StatusCode::BAD_GATEWAY)
        }
    }
}
