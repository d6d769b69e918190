//! The request of one attempt of a call.

use super::call_request::CallRequest;
use crate::prelude::*;
use http::header::HeaderValue;
use http::{HeaderName, Request};
use http_body_util::Full;
use oleander_platform::headers;

/// Builds the request of one attempt; `None` if a header value is invalid.
pub(super) fn attempt_message(req: &CallRequest, instance: &str) -> Option<Request<Full<Bytes>>> {
    let left = req.deadline.since(now());
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = req.target.clone();
    let header_map = message.headers_mut();
    *header_map = req.headers.clone();
    let added = [
        (headers::REQUEST_ID, req.id.clone()),
        (headers::DEADLINE_MS, left.0.to_string()),
        (headers::EXPECT_INSTANCE, instance.to_owned()),
    ];
    for (name, value) in added {
        let value = HeaderValue::from_str(&value).ok()?;
        header_map.insert(HeaderName::from_static(name), value);
    }
    Some(message)
}
