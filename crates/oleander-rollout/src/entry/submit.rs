//! Submissions of batch jobs.

use super::entry_process::Entry;
use super::head::RequestHead;
use crate::http::answer::{self, Answer};
use crate::prelude::*;
use crate::store::fault::StoreFault;
use crate::store::job_objects::create_job;
use http::StatusCode;
use http::request::Parts;
use oleander_platform::job::{Arrival, decode_job};
use oleanderlock::routing::attempt_rule::retry_after;
use oleanderlock::routing::route::Route;

/// Longest time that a submission waits for the store before the trainer is told to come back.
const STORE_WAIT: Millis = Millis(1500);
/// Pause between two tries at the store.
const STORE_PAUSE: Millis = Millis(100);

/// Accepts a job: once it is in the store, it lasts.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: &[u8],
) -> Answer {
    let arrival = Arrival {
        id: &head.id,
        host: &head.host,
        path: parts.uri.path(),
        unix_ms: u64::try_from(unix_ms()).unwrap_or_default(),
    };
    let job = match decode_job(arrival, body) {
        Ok(job) => job,
        Err(fault) => {
            event(log::Level::Warn, "job-refused", || {
                format!("request={} reason=\"{fault}\"", head.id)
            });
            entry.metrics.refused("bad-job");
            return answer::status(StatusCode::BAD_REQUEST);
        }
    };
    let until = head.arrived.plus(STORE_WAIT);
    let mut may_be_stored = false;
    let outcome = loop {
        match create_job(&entry.store, job.clone(), entry.cfg.value_bytes).await {
            Ok(()) => break "accepted",
            Err(StoreFault::Conflict) => break "accepted before",
            Err(fault) => {
                may_be_stored |= !matches!(fault, StoreFault::NotDone { .. });
                event(log::Level::Warn, "job-not-stored", || {
                    format!("request={} reason=\"{fault}\"", head.id)
                });
                if now() > until {
                    break if may_be_stored { "unknown" } else { "refused" };
                }
            }
        }
        sleep(STORE_PAUSE).await;
    };
    let took = now().since(head.arrived);
    event(log::Level::Info, "job-submitted", || {
        format!(
            "request={} route={} outcome=\"{outcome}\" took={took}",
            head.id, route.name
        )
    });
    entry.metrics.took("submit", took);
    match outcome {
        "refused" => {
            entry.metrics.refused("store-away");
            let left = head.patience.unwrap_or(route.timeout).since(took);
            answer::refusal(retry_after(left))
        }
        "unknown" => {
            entry.metrics.refused("store-unsure");
            answer::status(StatusCode::BAD_GATEWAY)
        }
        _ => answer::status(StatusCode::ACCEPTED),
    }
}
