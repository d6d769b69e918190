//! JSON body of every error response.

use crate::http::error_detail::ErrorDetail;
use serde::{Deserialize, Serialize};

/// JSON body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}
