//! Opens streams at the endpoints of a service.

use super::attempt_outcome::AttemptOutcome;
use super::call_outcome::CallOutcome;
use super::call_progress::CallProgress;
use super::call_request::CallRequest;
use super::caller::{Caller, give_up};
use super::demand_guard::DemandGuard;
use super::not_run::NotRun;
use super::not_run_reason::NotRunReason;
use super::opened_stream::OpenedStream;
use super::origin_check::OriginCheck;
use super::read_response::unusable;
use super::request_kind::RequestKind;
use super::stream_failure::StreamFailure;
use crate::prelude::*;

/// Refusal of a resumption whose origin is doubted; that does not change with time.
const ORIGIN_DOUBTED: NotRun = NotRun {
    retry_after: Millis::ZERO,
    reason: NotRunReason::OriginDoubted,
    full: false,
};

impl Caller {
    /// Sends a request for a stream to one endpoint after the other until one responds. A stream is
    /// not hedged. It is resumed only at an endpoint whose start is the one that the list names.
    pub(super) async fn open_stream(
        &self,
        req: &CallRequest,
        progress: &mut CallProgress,
    ) -> Result<OpenedStream, StreamFailure> {
        if let Some(not_run) = self.crashes.refusal(req) {
            return Err(StreamFailure::NotRun(not_run));
        }
        let confirmed = match &req.resumes {
            None => None,
            Some(origin) => match self.check_origin(req, origin).await {
                OriginCheck::Confirmed => origin.instance.as_ref(),
                OriginCheck::Uncontradicted => None,
                OriginCheck::Doubted => return Err(StreamFailure::NotRun(ORIGIN_DOUBTED)),
            },
        };
        while let Some(endpoint) = self.next_endpoint(req, RequestKind::Stream, progress).await {
            if req.resumes.is_some()
                && confirmed != Some(&endpoint.instance)
                && let Some(reason) = self.resumption_obstacle(&endpoint).await
            {
                let outcome = AttemptOutcome::NotRun(reason);
                self.record_outcome(req, progress, &endpoint.instance, outcome);
                continue;
            }
            let sent_at = now();
            let left = req.deadline.since(sent_at);
            let demand = self.demand.start(&endpoint);
            let opening = self.open_at(req, RequestKind::Stream, &endpoint);
            let Some(opened) = within(left, opening).await else {
                return Err(StreamFailure::Unknown);
            };
            let outcome = match opened {
                Ok((class, exchange)) => match unusable(class) {
                    Some(outcome) => outcome,
                    None => {
                        if let Some(usage) = &req.usage {
                            usage.record_first_event();
                        }
                        return Ok(OpenedStream {
                            exchange,
                            endpoint,
                            sent_at,
                            demand,
                        });
                    }
                },
                Err(outcome) => self.check_for_crash(req, &endpoint, outcome).await,
            };
            if matches!(outcome, AttemptOutcome::NotRun("full")) {
                demand.iter().for_each(DemandGuard::refuse);
            }
            drop(demand);
            self.record_outcome(req, progress, &endpoint.instance, outcome);
        }
        match give_up(req, progress) {
            CallOutcome::NotRun(not_run) => Err(StreamFailure::NotRun(NotRun {
                reason: self.refusal_reason(req, not_run.reason),
                ..not_run
            })),
            _ => Err(StreamFailure::Unknown),
        }
    }

    /// Returns why a stream has not run: no endpoint of the software version that began it may be
    /// left, or it has not run for `reason`.
    fn refusal_reason(&self, req: &CallRequest, reason: NotRunReason) -> NotRunReason {
        let view = self.view.get();
        let mut ready = view.endpoints.ready(&req.service);
        if req.resumes.is_none() || ready.any(|entry| req.may_run_at(entry)) {
            return reason;
        }
        NotRunReason::VersionGone
    }

    /// Records that a stream has been read to its end.
    pub(super) fn record_whole_stream(&self, req: &CallRequest, stream: &OpenedStream) {
        self.crashes.clear(req);
        let request = (RequestKind::Stream, stream.sent_at);
        let headers = &stream.exchange.head.headers;
        self.limits
            .read_whole(headers, &stream.endpoint.instance, request);
    }
}
