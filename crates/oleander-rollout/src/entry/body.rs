//! Bodies of responses to callers: complete ones, and streams relayed from an endpoint.

use super::whole_body::WholeBody;
use crate::http::response::FullResponse;
use crate::prelude::*;
use futures_util::stream::LocalBoxStream;
use http::Response;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Why a relayed body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Chunks of a body that is relayed as it arrives.
pub type BodyStream = LocalBoxStream<'static, Result<Frame<Bytes>, BodyError>>;

/// The body of a response to a caller.
pub type EntryBody = Either<Full<Bytes>, Either<WholeBody, StreamBody<BodyStream>>>;

/// A response to a caller.
pub type EntryResponse = Response<EntryBody>;

/// Returns a response with a complete body.
pub fn full(response: FullResponse) -> EntryResponse {
    response.map(Either::Left)
}

/// Returns a response whose body is relayed chunk by chunk.
pub fn streamed(head: Response<()>, chunks: BodyStream) -> EntryResponse {
    head.map(|()| Either::Right(Either::Right(StreamBody::new(chunks))))
}

/// Returns a response whose body waits for the client.
pub fn whole(response: Response<WholeBody>) -> EntryResponse {
    response.map(|body| Either::Right(Either::Left(body)))
}
