//! Reads the response to an attempt.

use super::attempt_outcome::AttemptOutcome;
use super::call_memory::CallMemory;
use super::endpoint_response::EndpointResponse;
use super::response_class::ResponseClass;
use crate::http::exchange::Exchange;
use http::HeaderMap;

/// Longest body of a response that is not a stream, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Why the response to an attempt counts as lost, in logs.
const FOREIGN: &str = "a response to another request";
const UNCLEAR: &str = "a refusal without the header that states not run";

/// Returns the outcome of an attempt whose response can't be used; `None` if it can.
pub(super) fn unusable(class: ResponseClass) -> Option<AttemptOutcome> {
    match class {
        ResponseClass::NotRun => Some(AttemptOutcome::NotRun("full")),
        ResponseClass::OtherInstance => Some(AttemptOutcome::NotRun("other-instance")),
        ResponseClass::Foreign => Some(AttemptOutcome::Unusable(FOREIGN.to_owned())),
        ResponseClass::Unclear => Some(AttemptOutcome::Unusable(UNCLEAR.to_owned())),
        ResponseClass::Answer | ResponseClass::Failure => None,
    }
}

/// Reads the body of a response with a head of this class; calls `on_whole` with its headers if it
/// is a whole one of the endpoint.
pub(super) async fn read_response(
    class: ResponseClass,
    exchange: Exchange,
    memory: &CallMemory,
    on_whole: impl FnOnce(&HeaderMap),
) -> AttemptOutcome {
    if class == ResponseClass::Foreign {
        // The connection is closed: the response to this call may still follow on it.
        return AttemptOutcome::Unusable(FOREIGN.to_owned());
    }
    let first_on_connection = exchange.is_first_on_connection();
    let response = match memory.take_response() {
        None => exchange.collect_blocks(RESPONSE_MAX_BYTES).await,
        Some(held) => {
            let waiting = || memory.wait();
            exchange
                .collect_bounded(RESPONSE_MAX_BYTES, held, waiting)
                .await
        }
    };
    if let Ok((head, _)) = &response
        && class.is_of_endpoint()
    {
        on_whole(&head.headers);
    }
    if let Some(outcome) = unusable(class) {
        return outcome;
    }
    let (head, body) = match response {
        Ok(response) => response,
        Err(error) => return AttemptOutcome::Lost(error.to_string()),
    };
    let response = EndpointResponse {
        head,
        body,
        failures: 0,
        first_on_connection,
    };
    match class {
        ResponseClass::Failure => AttemptOutcome::Failure(response),
        _ => AttemptOutcome::Answer(response),
    }
}
