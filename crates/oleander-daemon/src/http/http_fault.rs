//! Errors as callers get them.

use oleanderlock::prelude::*;
use serde::{Deserialize, Serialize};
use trillium::{Conn, Status};

/// An error on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpFault {
    /// The kind, which gives status and message.
    pub kind: ErrorKind,
    /// Whether the work ran.
    pub ran: Ran,
    /// When the caller may come back.
    pub retry_after: Option<Millis>,
    /// What is wrong in particular; the kind's sentence when empty.
    pub detail: String,
    /// Names the request in the logs of all processes.
    pub request: Option<RequestId>,
}

/// The JSON shape of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The fields of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Name of the error kind.
    pub kind: String,
    /// A sentence for people.
    pub message: String,
    /// Whether the work ran: `no`, `yes` or `unknown`.
    pub ran: Ran,
    /// When the caller may come back, in milliseconds; absent when coming back is of no use.
    pub retry_after_ms: Option<u64>,
    /// Names the request in logs.
    pub request: Option<String>,
}

impl HttpFault {
    /// Creates a fault of work that did not run.
    pub fn not_run(kind: ErrorKind) -> Self {
        Self::new(kind, Ran::No)
    }

    /// Creates a fault.
    pub fn new(kind: ErrorKind, ran: Ran) -> Self {
        Self {
            kind,
            ran,
            retry_after: None,
            detail: String::new(),
            request: None,
        }
    }

    /// Adds what is wrong in particular.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds when the caller may come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Adds the request.
    #[must_use]
    pub fn of(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Returns the JSON form.
    pub fn body(&self) -> ErrorBody {
        let sentence = self.kind.response().message;
        let message = if self.detail.is_empty() {
            sentence.to_owned()
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

    /// Answers a connection with this fault.
    pub fn answer(&self, conn: Conn) -> Conn {
        let body = self.body();
        let status = Status::try_from(self.kind.response().status);
        let mut conn = json(conn, status.unwrap_or(Status::InternalServerError), &body);
        if let Some(length) = body.error.retry_after_ms {
            // The standard header counts whole seconds; the exact time is in the body.
            let seconds = length.div_ceil(1000).max(1);
            conn.response_headers_mut()
                .insert("retry-after", seconds.to_string());
        }
        conn
    }
}

/// Answers a connection with a JSON body.
pub fn json(conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    let text = serde_json::to_string(body).unwrap_or_default();
    conn.with_response_header("content-type", "application/json")
        .with_status(status)
        .with_body(text)
        .halt()
}
