//! Calls about batch jobs: results, bodies and ends, answered by the leading dispatcher.

use super::entry_process::Entry;
use super::head::{RequestHead, number};
use crate::http::response::{self, FullResponse};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::JOBS;
use crate::prelude::*;
use http::{HeaderMap, Method, StatusCode};
use oleander_platform::headers;
use oleander_platform::job_call::JobCall;

/// Longest wait for the leader beyond the wait that the caller asks for.
const LEADER_LIMIT: Millis = Millis(1500);
/// Pause between two tries at the leader.
const LEADER_PAUSE: Millis = Millis(150);
/// Time after which a caller may come back when no dispatcher answers.
const LEADER_RETRY: Millis = Millis(300);
/// Longest wait for a dispatcher that is asked who leads.
const ASK_LIMIT: Millis = Millis(300);

/// Answers a call about a job.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    header: &HeaderMap,
    call: JobCall,
) -> FullResponse {
    let wait = Millis(number(header, headers::WAIT_MS).unwrap_or_default());
    let (method, path) = match &call {
        JobCall::Read { after: None, .. } => return response::status(StatusCode::BAD_REQUEST),
        JobCall::Read {
            job,
            after: Some(after),
        } => {
            let path = format!("{JOBS}{job}/results?after={after}&wait_ms={}", wait.0);
            (Method::GET, path)
        }
        JobCall::Body { job, item } => (Method::GET, format!("{JOBS}{job}/items/{item}")),
        JobCall::End { job } => (Method::POST, format!("{JOBS}{job}/end")),
    };
    let until = head.arrived.plus(wait).plus(LEADER_LIMIT);
    let mut fault = LeaderError::Unknown;
    while now() < until {
        let limit = until.since(now());
        let called = entry
            .leader_client
            .call(method.clone(), &path, Vec::new(), limit)
            .await;
        match called {
            Ok((status, body)) => return told(head, &call, status, body),
            Err(LeaderError::Unsure) => {
                fault = LeaderError::Unsure;
                break;
            }
            Err(other) => fault = other,
        }
        entry.leader_client.ask_for_leader(ASK_LIMIT).await;
        sleep(LEADER_PAUSE).await;
    }
    event(log::Level::Info, "job-call-refused", || {
        format!("request={} call={call:?} reason=\"{fault}\"", head.id)
    });
    entry.metrics.record_refusal("no-leader");
    response::refusal(LEADER_RETRY)
}

fn told(head: &RequestHead, call: &JobCall, status: StatusCode, body: Bytes) -> FullResponse {
    if let JobCall::End { job } = call {
        event(log::Level::Info, "job-end", || {
            format!("request={} job={job} status={}", head.id, status.as_u16())
        });
    }
    let mut answer = match call {
        JobCall::Read { .. } if status == StatusCode::OK => response::json(body),
        JobCall::Body { .. } if status == StatusCode::OK => response::bytes(body),
        _ => response::status(status),
    };
    *answer.status_mut() = status;
    answer
}
