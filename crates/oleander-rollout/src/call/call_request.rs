//! A call to a service.

use super::call_memory::CallMemory;
use super::send_condition::SendCondition;
use super::usage_mark::UsageMark;
use crate::prelude::*;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::request_content::RequestContent;
use oleanderlock::routing::stream_origin::StreamOrigin;
use std::rc::Rc;
use std::sync::Arc;

/// A call to a service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Id of the call; an endpoint repeats it in its response.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers to send, except hop-by-hop headers and those that each attempt sets: deadline and
    /// expected instance.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Name of the service.
    pub service: String,
    /// Whether an attempt that may have run may be repeated.
    pub repeatable: bool,
    /// Most attempts that may run the call.
    pub attempts: u32,
    /// Latency objective of the route.
    pub objective: Millis,
    /// Point in time after which the caller no longer waits for the response.
    pub deadline: Millis,
    /// What began the stream that the request resumes; no other endpoint may run it.
    pub resumes: Option<StreamOrigin>,
    /// Workspace of the client; `None` without workspaces, on public routes and for scoring calls.
    pub workspace: Option<Arc<str>>,
    /// Counts the request once an endpoint has begun to run it; `None` if it is not counted.
    pub usage: Option<Rc<UsageMark>>,
    /// Whether one attempt is made even if endpoints have crashed under the same request before.
    pub trial: bool,
    /// Condition under which an attempt may still be sent.
    pub condition: SendCondition,
    /// Memory that the call uses.
    pub memory: CallMemory,
}

impl CallRequest {
    /// Whether an endpoint may run the call.
    pub fn may_run_at(&self, endpoint: &EndpointEntry) -> bool {
        let origin = self.resumes.as_ref();
        origin.is_none_or(|origin| origin.includes(endpoint))
    }

    /// Returns the content of the call, which is the same when a client repeats it.
    pub fn content(&self) -> RequestContent {
        let host = self.headers.get(HOST).map_or("", |value| {
            // A host that is no text is hashed as if it were missing.
            value.to_str().unwrap_or_default()
        });
        let target = self.target.to_string();
        RequestContent::new(self.method.as_str(), host, &target, &self.body)
    }
}
