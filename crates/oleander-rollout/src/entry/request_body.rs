//! Reads the bodies of requests.

use crate::http::room::HeldBytes;
use crate::prelude::*;
use bytes::BytesMut;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// A body is held twice while it is sent: as a whole, and in the buffer of the connection.
const COPIES: usize = 2;

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// There is no room for it in this process.
    NoRoom,
    /// Another reason, with the status of the response.
    Failed(StatusCode),
}

/// Reserves room in `piece` for all of a body; returns whether there is any. Bodies of which each has
/// a part of the room would wait for each other. Nothing is reserved for a body that is too long.
pub(super) fn reserve(body: &Incoming, max_bytes: usize, piece: &HeldBytes) -> bool {
    let expected = announced(body);
    expected > max_bytes || piece.try_resize(expected * COPIES)
}

/// Returns the length that a body is announced with; 0 if it is not.
fn announced(body: &Incoming) -> usize {
    let bytes = body.size_hint().exact().unwrap_or_default();
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Reads a whole body, of at most `max_bytes`, for which [`reserve`] has reserved room in `piece`; more is
/// taken for a body that didn't announce its length.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    piece: Option<&HeldBytes>,
) -> Result<Bytes, BodyError> {
    let Some(piece) = piece else {
        let body = Limited::new(body, max_bytes).collect().await;
        return Ok(body.map_err(|error| failed(&*error))?.to_bytes());
    };
    let expected = announced(&body);
    if expected > max_bytes {
        return Err(BodyError::Failed(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let mut limited = Limited::new(body, max_bytes);
    let mut whole = BytesMut::with_capacity(expected);
    while let Some(frame) = limited.frame().await {
        let frame = frame.map_err(|error| failed(&*error))?;
        let Ok(chunk) = frame.into_data() else {
            // Trailers are skipped.
            continue;
        };
        let bytes = (whole.len() + chunk.len()) * COPIES;
        if bytes > piece.bytes() && !piece.try_resize(bytes) {
            return Err(BodyError::NoRoom);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Returns the error of a body that could not be read.
fn failed(error: &(dyn std::error::Error + Send + Sync + 'static)) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::Failed(StatusCode::PAYLOAD_TOO_LARGE);
    }
    event(log::Level::Info, "body-broken", || {
        format!("reason=\"{error}\"")
    });
    BodyError::Failed(StatusCode::BAD_REQUEST)
}
