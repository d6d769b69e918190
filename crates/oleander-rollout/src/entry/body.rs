//! Bodies of answers to callers: whole, or relayed as they arrive.

use crate::http::response::FullResponse;
use crate::prelude::*;
use futures_util::stream::LocalBoxStream;
use http::Response;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Why a relayed body ends early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// BodyStream of a body as they arrive.
pub type BodyStream = LocalBoxStream<'static, Result<Frame<Bytes>, BodyError>>;

/// The body of an answer to a caller.
pub type EntryBody = Either<Full<Bytes>, StreamBody<BodyStream>>;

/// An answer to a caller.
pub type EntryResponse = Response<EntryBody>;

/// Returns an answer with its whole body.
pub fn whole(answer: FullResponse) -> EntryResponse {
    answer.map(Either::Left)
}

/// Returns an answer whose body arrives piece by piece.
pub fn relayed(head: Response<()>, pieces: BodyStream) -> EntryResponse {
    head.map(|()| Either::Right(StreamBody::new(pieces)))
}
