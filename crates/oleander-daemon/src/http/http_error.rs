//! Errors that are sent to callers over HTTP.

use crate::http::error_body::ErrorBody;
use crate::http::error_detail::ErrorDetail;
use crate::http::json_response::json_response;
use oleanderlock::prelude::*;
use trillium::{Conn, Status};

/// An error that is sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The kind, which decides the HTTP status and the default message.
    pub kind: ErrorKind,
    /// Whether the work ran.
    pub ran: Ran,
    /// Time after which a retry makes sense; not sent for kinds that are not retryable.
    pub retry_after: Option<Millis>,
    /// Message of this particular error; when empty, the default message of the kind is sent.
    pub detail: String,
    /// Id of the request, as it appears in the logs of all processes.
    pub request: Option<RequestId>,
}

impl HttpError {
    /// Creates an error of work that did not run.
    pub fn not_run(kind: ErrorKind) -> Self {
        Self::new(kind, Ran::No)
    }

    /// Creates an error; `ran` says whether the work ran.
    pub fn new(kind: ErrorKind, ran: Ran) -> Self {
        Self {
            kind,
            ran,
            retry_after: None,
            detail: String::new(),
            request: None,
        }
    }

    /// Replaces the default message of the kind.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Adds the id of the request.
    #[must_use]
    pub fn for_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> ErrorBody {
        let default_message = self.kind.response().message;
        let message = if self.detail.is_empty() {
            default_message.to_owned()
        } else {
            self.detail.clone()
        };
        let retry_after = self.retry_after.filter(|_| self.kind.response().retryable);
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind.to_string(),
                message,
                ran: self.ran,
                retry_after_ms: retry_after.map(|length| length.0),
                request: self.request.map(|request| request.to_string()),
            },
        }
    }

    /// Sends this error as the response.
    pub fn respond(&self, conn: Conn) -> Conn {
        let body = self.body();
        let status = Status::try_from(self.kind.response().status);
        let mut conn = json_response(conn, status.unwrap_or(Status::InternalServerError), &body);
        if let Some(length) = body.error.retry_after_ms {
            // The `retry-after` header has whole seconds; the exact time is in the body.
            let seconds = length.div_ceil(1000).max(1);
            conn.response_headers_mut()
                .insert("retry-after", seconds.to_string());
        }
        conn
    }
}
