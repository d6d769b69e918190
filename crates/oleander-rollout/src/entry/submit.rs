//! Submissions of batch jobs.

use super::entry_process::Entry;
use super::head::RequestHead;
use crate::http::response::{self, FullResponse};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::JOBS;
use crate::prelude::*;
use crate::store::job_objects::create_job;
use crate::store::store_error::StoreError;
use http::request::Parts;
use http::{Method, StatusCode};
use oleander_platform::job::decode_job;
use oleander_platform::submission_call::SubmissionCall;
use oleanderlock::batch::job::Job;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;

/// Part of the trainer's patience for which a submission waits for the store before the trainer
/// is told to come back, in parts of 10: two attempts then bridge most outages.
const STORE_WAIT_TENTHS: u64 = 3;
/// Longest wait for the leading dispatcher.
const LEADER_LIMIT: Millis = Millis(1500);
/// Pause between two tries at the store.
const STORE_PAUSE: Millis = Millis(100);

/// Accepts a job: once it is in the store, it lasts.
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
        unix_ms: u64::try_from(unix_ms()).unwrap_or_default(),
    };
    let job = match decode_job(call, body) {
        Ok(job) => job,
        Err(fault) => {
            event(log::Level::Warn, "job-refused", || {
                format!("request={} reason=\"{fault}\"", head.id)
            });
            entry.metrics.record_refusal("bad-job");
            return response::status(StatusCode::BAD_REQUEST);
        }
    };
    let patience = head.patience.unwrap_or(route.timeout);
    let until = head
        .arrived
        .plus(Millis(patience.0 * STORE_WAIT_TENTHS / 10));
    let outcome = store(entry, &job, until).await;
    let took = now().since(head.arrived);
    event(log::Level::Info, "job-submitted", || {
        format!(
            "request={} route={} outcome=\"{outcome}\" took={took}",
            head.id, route.name
        )
    });
    entry.metrics.record_duration("submit", took);
    match outcome {
        Stored::Accepted | Stored::AcceptedBefore => response::status(StatusCode::ACCEPTED),
        Stored::Refused => {
            entry.metrics.record_refusal("store-away");
            response::refusal(retry_after(patience.since(took)))
        }
        Stored::Unknown => {
            entry.metrics.record_refusal("store-unsure");
            response::status(StatusCode::BAD_GATEWAY)
        }
    }
}

/// What became of a submission at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stored {
    /// It was written now.
    Accepted,
    /// It was written before.
    AcceptedBefore,
    /// It was not written, and will not be.
    Refused,
    /// It may have been written, or may still be.
    Unknown,
}

/// Writes a job to the store, through the leading dispatcher when the store turns this entry away.
async fn store(entry: &Entry, job: &Job, until: Millis) -> Stored {
    let mut may_be_stored = false;
    loop {
        let direct = create_job(&entry.store, job.clone(), entry.cfg.value_bytes).await;
        let tried = match direct {
            Err(StoreError::NotDone { reason }) => {
                event(log::Level::Warn, "job-not-stored", || {
                    format!("request={} reason=\"{reason}\"", job.id)
                });
                through_leader(entry, job).await
            }
            other => other,
        };
        match tried {
            Ok(()) => return Stored::Accepted,
            Err(StoreError::Conflict) => return Stored::AcceptedBefore,
            Err(fault) => {
                may_be_stored |= !matches!(fault, StoreError::NotDone { .. });
                event(log::Level::Warn, "job-not-stored", || {
                    format!("request={} reason=\"{fault}\"", job.id)
                });
            }
        }
        if now() > until {
            let unsure = may_be_stored;
            return if unsure {
                Stored::Unknown
            } else {
                Stored::Refused
            };
        }
        sleep(STORE_PAUSE).await;
    }
}

async fn through_leader(entry: &Entry, job: &Job) -> Result<(), StoreError> {
    let body = serde_json::to_vec(job).map_err(StoreError::not_done)?;
    let path = format!("{JOBS}{}/accept", job.id);
    let called = entry
        .leader_client
        .call(Method::POST, &path, body, LEADER_LIMIT)
        .await;
    match called {
        Ok((StatusCode::OK, _)) => Ok(()),
        Ok((StatusCode::CONFLICT, _)) => Err(StoreError::Conflict),
        Err(LeaderError::Unknown | LeaderError::NotLeading | LeaderError::Unsure) => {
            Err(StoreError::not_done("no leader with a store"))
        }
        Ok((status, _)) => Err(StoreError::no_answer(status)),
        Err(LeaderError::NoAnswer { reason }) => Err(StoreError::no_answer(reason)),
    }
}
