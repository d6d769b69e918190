//! Handles submissions of batch jobs.

use super::entry_process::Entry;
use super::request_head::RequestHead;
use super::submit_outcome::SubmitOutcome;
use crate::http::response::{self, FullResponse};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::JOBS;
use crate::prelude::*;
use crate::store::job_creation::JobCreation;
use crate::store::job_objects::{JOB_KIND, create_job};
use crate::store::store_error::StoreError;
use http::request::Parts;
use http::{Method, StatusCode};
use oleander_platform::job::decode_job;
use oleander_platform::submission_call::SubmissionCall;
use oleanderlock::batch::job::Job;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;

/// Tenths of the trainer's timeout for which a submission waits for the store before it is refused:
/// two attempts of the trainer then outlast most outages.
const STORE_TIMEOUT_TENTHS: u64 = 3;
/// Timeout of a call to the leading dispatcher.
const LEADER_TIMEOUT: Millis = Millis(1500);
/// Pause between two attempts to store the job.
const RETRY_PAUSE: Millis = Millis(100);

/// Accepts a job by writing it to the store; once written, it is not lost.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: &[u8],
) -> FullResponse {
    let call = SubmissionCall {
        id: &head.id,
        host: &head.host,
        path: parts.uri.path(),
        unix_ms: unix_ms(),
        has_workspaces: entry.view.get().has_workspaces(),
        workspace: head.client.as_ref().map(|client| &*client.workspace),
    };
    let job = match decode_job(call, body) {
        Ok(job) => job,
        Err(error) => {
            event(log::Level::Warn, "job-refused", || {
                format!("request={} reason=\"{error}\"", head.id)
            });
            entry.metrics.record_refusal("bad-job");
            return response::status(StatusCode::BAD_REQUEST);
        }
    };
    let timeout = head.client_timeout.unwrap_or(route.timeout);
    let until = head
        .arrived
        .plus(Millis(timeout.0 * STORE_TIMEOUT_TENTHS / 10));
    let outcome = if is_over_budget(entry, &job.id).await {
        SubmitOutcome::NoMemory
    } else {
        store(entry, &job, until).await
    };
    let took = now().since(head.arrived);
    event(log::Level::Info, "job-submitted", || {
        format!(
            "request={} route={} outcome=\"{outcome}\" took={took}",
            head.id, route.name
        )
    });
    entry.metrics.record_latency("submit", took);
    match outcome {
        SubmitOutcome::Accepted | SubmitOutcome::AcceptedBefore => {
            response::status(StatusCode::ACCEPTED)
        }
        SubmitOutcome::ForeignId => {
            entry.metrics.record_refusal("foreign-job-id");
            response::status(StatusCode::NOT_FOUND)
        }
        SubmitOutcome::Refused => {
            entry.metrics.record_refusal("store-away");
            response::refusal(retry_after(timeout.since(took)))
        }
        SubmitOutcome::NoMemory => {
            entry.metrics.record_refusal("no-job-memory");
            response::refusal(retry_after(timeout.since(took)))
        }
        SubmitOutcome::Unknown => {
            entry.metrics.record_refusal("store-unsure");
            response::status(StatusCode::BAD_GATEWAY)
        }
    }
}

/// Whether the leading dispatcher has no memory for a job that is not in the store. If that is not known,
/// the job is stored: it may have been accepted before.
async fn is_over_budget(entry: &Entry, id: &str) -> bool {
    entry.view.get().jobs_full && matches!(entry.store.get(JOB_KIND, id).await, Ok(None))
}

/// Writes a job to the store, through the leading dispatcher when the store refuses calls of this
/// entry.
async fn store(entry: &Entry, job: &Job, until: Millis) -> SubmitOutcome {
    let mut may_be_stored = false;
    loop {
        let owned = entry.view.get().has_workspaces();
        let direct = create_job(&entry.store, job.clone(), entry.cfg.value_bytes, owned).await;
        let result = match direct {
            Err(StoreError::NotDone { reason }) => {
                event(log::Level::Warn, "job-not-stored", || {
                    format!("request={} reason=\"{reason}\"", job.id)
                });
                through_leader(entry, job).await
            }
            other => other,
        };
        match result {
            Ok(JobCreation::Created) => return SubmitOutcome::Accepted,
            Ok(JobCreation::Existing) => return SubmitOutcome::AcceptedBefore,
            Ok(JobCreation::Foreign) => return SubmitOutcome::ForeignId,
            Err(error) => {
                may_be_stored |= !matches!(error, StoreError::NotDone { .. });
                event(log::Level::Warn, "job-not-stored", || {
                    format!("request={} reason=\"{error}\"", job.id)
                });
            }
        }
        if now() > until {
            return if may_be_stored {
                SubmitOutcome::Unknown
            } else {
                SubmitOutcome::Refused
            };
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Has the leading dispatcher write a job to the store.
async fn through_leader(entry: &Entry, job: &Job) -> Result<JobCreation, StoreError> {
    let body = serde_json::to_vec(job).map_err(StoreError::not_done)?;
    let path = format!("{JOBS}{}/accept", job.id);
    let called = entry
        .leader_client
        .call(Method::POST, &path, body, LEADER_TIMEOUT)
        .await;
    match called {
        Ok((StatusCode::OK, _)) => Ok(JobCreation::Created),
        Ok((StatusCode::CONFLICT, _)) => Ok(JobCreation::Existing),
        Ok((StatusCode::FORBIDDEN, _)) => Ok(JobCreation::Foreign),
        Err(LeaderError::Unknown | LeaderError::NotLeading | LeaderError::Unsure) => {
            Err(StoreError::not_done("no leader with a store"))
        }
        Err(LeaderError::NotReached { reason }) => Err(StoreError::not_done(reason)),
        Ok((status, _)) => Err(StoreError::no_answer(status)),
        Err(LeaderError::NoAnswer { reason }) => Err(StoreError::no_answer(reason)),
    }
}
