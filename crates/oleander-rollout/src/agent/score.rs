//! Calls to the scoring services.

use super::agent_process::Agent;
use super::score_outcome::ScoreOutcome;
use crate::call::call_memory::CallMemory;
use crate::call::call_outcome::CallOutcome;
use crate::call::call_request::CallRequest;
use crate::call::not_run_reason::NotRunReason;
use crate::call::send_condition::SendCondition;
use crate::peer::messages::WorkItem;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use http::{Method, Uri};
use oleander_platform::headers;
use oleander_platform::job::body_bytes;
use oleanderlock::batch::score_call::ScoreCall;

/// Longest pause after the first scoring call without a score; doubles with each further one.
const RETRY_PAUSE: Millis = Millis(100);
/// Longest pause after a scoring call without a score.
const RETRY_PAUSE_MAX: Millis = Millis(800);
/// Calls after which the pause no longer doubles.
const RETRY_DOUBLINGS: u32 = 3;
/// Pause before a scoring call under which endpoints have crashed is tried once more.
const TRIAL_PAUSE: Millis = Millis::from_secs(10);
/// Such attempts for each text.
const TRIALS_MAX: u32 = 3;
/// Pause while there is no route to the scoring service.
const NO_ROUTE_PAUSE: Millis = Millis(500);

/// Requests the score of a text, until there is one or the service has failed too often. Calls that
/// have not run or whose response is lost don't count as failures.
pub async fn score(agent: &Agent, work: &WorkItem) -> ScoreOutcome {
    let Some(call) = &work.item.score_call else {
        return ScoreOutcome::Score(None);
    };
    let started_at = now();
    let mut failures = 0;
    let (mut trial, mut trials, mut retries) = (false, 0, 0);
    loop {
        agent.wait_until_open(&work.key.job).await;
        let Some((mut req, attempts)) = request(agent, call) else {
            event(log::Level::Warn, "score-no-route", || {
                format!("request={} host={} path={}", call.id, call.host, call.path)
            });
            sleep(NO_ROUTE_PAUSE).await;
            continue;
        };
        req.trial = std::mem::take(&mut trial);
        req.condition = agent.job_checks.condition(&work.key.job);
        let timeout = req.deadline.since(now());
        let running = agent.score_window.start().await;
        req.deadline = now().plus(timeout);
        let sent_at = now();
        let outcome = agent.caller.call(&req).await;
        drop(running);
        record_load(agent, &outcome, now().since(sent_at), req.objective);
        let mut pause = Millis(RETRY_PAUSE.0 << retries).min(RETRY_PAUSE_MAX);
        retries = (retries + 1).min(RETRY_DOUBLINGS);
        let reason = match outcome {
            CallOutcome::Answered(response) => {
                let signature = response.head.headers.get(headers::SIGNATURE);
                let signature = signature.and_then(|value| value.to_str().ok());
                if let Some(score) = signature.filter(|_| response.head.status.is_success()) {
                    agent
                        .metrics
                        .record_latency("score", now().since(started_at));
                    return ScoreOutcome::Score(Some(score.to_owned()));
                }
                failures += response.failures;
                "failure"
            }
            CallOutcome::NotRun(not_run) => {
                match not_run.reason {
                    NotRunReason::NotRun
                    | NotRunReason::VersionGone
                    | NotRunReason::OriginDoubted => {}
                    NotRunReason::RateLimit => pause = not_run.retry_after,
                    // The item is owed even if its score call crashes endpoints.
                    NotRunReason::CrashesEndpoints => {
                        pause = TRIAL_PAUSE;
                        trial = trials < TRIALS_MAX;
                        trials += 1;
                    }
                }
                "not-run"
            }
            CallOutcome::Unknown => "unknown",
            CallOutcome::TimedOut => "timeout",
        };
        event(log::Level::Info, "score-failed", || {
            format!(
                "request={} item={} reason={reason} failures={failures}",
                call.id, work.key
            )
        });
        agent.metrics.record_retry("score");
        if failures >= attempts {
            return ScoreOutcome::NeverScored;
        }
        sleep(Millis(rand::random_range(pause.0 / 2..=pause.0))).await;
    }
}

/// Records what the outcome of a call says about the load of the service; nothing if the call was
/// not sent.
fn record_load(agent: &Agent, outcome: &CallOutcome, took: Millis, objective: Millis) {
    match outcome {
        CallOutcome::Answered(_) => agent.score_window.record_response(took, objective),
        CallOutcome::NotRun(not_run) if not_run.reason != NotRunReason::NotRun => {}
        CallOutcome::NotRun(_) | CallOutcome::Unknown | CallOutcome::TimedOut => {
            agent.score_window.record_refusal();
        }
    }
}

/// Returns the scoring call and the number of failures after which the item is given up; `None` if
/// no route leads to the service or the call is not valid.
fn request(agent: &Agent, call: &ScoreCall) -> Option<(CallRequest, u32)> {
    let view = agent.view.get();
    let route = view.routes.as_ref()?.find(&call.host, &call.path)?;
    let mut header_map = HeaderMap::new();
    header_map.insert(HOST, HeaderValue::from_str(&call.host).ok()?);
    header_map.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    let req = CallRequest {
        id: call.id.clone(),
        method: Method::POST,
        target: call.path.parse::<Uri>().ok()?,
        headers: header_map,
        body: Bytes::from(body_bytes(&call.body_base64)),
        service: route.pick_service(rand::random())?.to_owned(),
        repeatable: true,
        attempts: route.attempts,
        objective: route.objective,
        deadline: now().plus(route.timeout),
        resumes: None,
        workspace: None,
        usage: None,
        trial: false,
        condition: SendCondition::default(),
        memory: CallMemory::default(),
    };
    Some((req, route.attempts))
}
