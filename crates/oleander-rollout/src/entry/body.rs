//! Bodies of answers to callers: whole, or relayed as they arrive.

use crate::http::answer::Answer;
use crate::prelude::*;
use futures_util::stream::LocalBoxStream;
use http::Response;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Why a relayed body ends early.
pub type BodyFault = Box<dyn std::error::Error + Send + Sync>;

/// Pieces of a body as they arrive.
pub type Pieces = LocalBoxStream<'static, Result<Frame<Bytes>, BodyFault>>;

/// The body of an answer to a caller.
pub type FrontBody = Either<Full<Bytes>, StreamBody<Pieces>>;

/// An answer to a caller.
pub type FrontAnswer = Response<FrontBody>;

/// Returns an answer with its whole body.
pub fn whole(answer: Answer) -> FrontAnswer {
    answer.map(Either::Left)
}

/// Returns an answer whose body arrives piece by piece.
pub fn relayed(head: Response<()>, pieces: Pieces) -> FrontAnswer {
    head.map(|()| Either::Right(StreamBody::new(pieces)))
}
