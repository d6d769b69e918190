//! Response of an entry.

use crate::ctl_error::CtlError;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Response of an entry.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body as text.
    pub body: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    kind: String,
    message: String,
    ran: Ran,
}

impl Reply {
    /// Parses the body of a successful response.
    ///
    /// # Errors
    ///
    /// The error that the entry reported, or [`CtlError::Nonsense`].
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        if self.status >= 400 {
            return Err(self.refusal());
        }
        parse(&self.body)
    }

    /// Returns the error that the body describes, or [`CtlError::Nonsense`].
    pub fn refusal(&self) -> CtlError {
        match parse::<ErrorBody>(&self.body) {
            Ok(ErrorBody { error }) => CtlError::Refused {
                kind: error.kind,
                message: error.message,
                ran: error.ran,
            },
            Err(error) => error,
        }
    }
}

/// Parses JSON.
///
/// # Errors
///
/// [`CtlError::Nonsense`].
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, CtlError> {
    serde_json::from_str(text).map_err(|error| CtlError::Nonsense {
        reason: error.to_string(),
    })
}
