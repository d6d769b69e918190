//! Calls of trainers about their batch jobs, which the leading dispatcher handles: read results, read
//! the request body of an item, end a job.

use super::entry_process::Entry;
use super::request_head::{RequestHead, number};
use crate::http::response::{self, FullResponse};
use crate::peer::leader_error::LeaderError;
use crate::peer::messages::{JOBS, JobCaller};
use crate::prelude::*;
use http::{HeaderMap, Method, StatusCode};
use oleander_platform::headers;
use oleander_platform::job_call::JobCall;

/// Time for which the leader is tried, in addition to the wait that the request asks for.
const LEADER_TIMEOUT: Millis = Millis(1500);
/// Statuses by which a leader answers a call about a job; others leave its outcome open.
const ANSWERS: [StatusCode; 3] = [
    StatusCode::OK,
    StatusCode::BAD_REQUEST,
    StatusCode::NOT_FOUND,
];
/// Time for which an end whose outcome is not known is tried.
const END_TIMEOUT: Millis = Millis(3000);
/// Pause between two calls to the leader.
const RETRY_PAUSE: Millis = Millis(150);
/// Time after which a client may retry when no leader responds.
const NO_LEADER_RETRY_AFTER: Millis = Millis(300);
/// Timeout of asking the dispatchers for the leader.
const ASK_TIMEOUT: Millis = Millis(300);

/// Handles a call about a job.
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
    let body = match caller_message(head) {
        Ok(body) => body,
        Err(error) => {
            event(log::Level::Error, "message-unwritable", || {
                format!("request={} reason=\"{error}\"", head.id)
            });
            return response::status(StatusCode::INTERNAL_SERVER_ERROR);
        }
    };
    let is_end = matches!(call, JobCall::End { .. });
    let mut until = head.arrived.plus(wait).plus(LEADER_TIMEOUT);
    let mut last_error = LeaderError::Unknown;
    // Whether an earlier try may have ended the job, or may still do so. Reads change nothing.
    let mut may_have_ended = false;
    while now() < until {
        let limit = until.since(now()).min(wait.plus(LEADER_TIMEOUT));
        let called = entry
            .leader_client
            .call(method.clone(), &path, body.clone(), limit)
            .await;
        match called {
            Ok((status, body)) if ANSWERS.contains(&status) => {
                return client_response(head, &call, status, body);
            }
            Ok((status, _)) => {
                last_error = LeaderError::NoAnswer {
                    reason: status.to_string(),
                };
            }
            Err(error) => last_error = error,
        }
        may_have_ended |= is_end && matches!(last_error, LeaderError::NoAnswer { .. });
        if may_have_ended {
            until = head.arrived.plus(END_TIMEOUT);
        } else if last_error == LeaderError::Unsure {
            break;
        }
        entry.leader_client.ask_for_leader(ASK_TIMEOUT, None).await;
        sleep(RETRY_PAUSE).await;
    }
    event(log::Level::Info, "job-call-refused", || {
        format!(
            "request={} call={call:?} may_have_ended={may_have_ended} reason=\"{last_error}\"",
            head.id
        )
    });
    if may_have_ended {
        entry.metrics.record_refusal("end-unsure");
        return response::status(StatusCode::BAD_GATEWAY);
    }
    entry.metrics.record_refusal("no-leader");
    response::refusal(NO_LEADER_RETRY_AFTER)
}

/// Returns the message that tells the leader the workspace of the client; empty without one.
fn caller_message(head: &RequestHead) -> serde_json::Result<Vec<u8>> {
    let Some(client) = &head.client else {
        return Ok(Vec::new());
    };
    serde_json::to_vec(&JobCaller {
        workspace: client.workspace.to_string(),
    })
}

/// Returns the response to the client for the response of the leader.
fn client_response(
    head: &RequestHead,
    call: &JobCall,
    status: StatusCode,
    body: Bytes,
) -> FullResponse {
    if let JobCall::End { job } = call {
        event(log::Level::Info, "job-end", || {
            format!("request={} job={job} status={}", head.id, status.as_u16())
        });
    }
    let mut response = match call {
        JobCall::Read { .. } if status == StatusCode::OK => response::json(body),
        JobCall::Body { .. } if status == StatusCode::OK => response::bytes(body),
        _ => response::status(status),
    };
    *response.status_mut() = status;
    response
}
