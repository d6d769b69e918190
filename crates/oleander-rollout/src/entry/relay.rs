//! The response to a client that relays a stream.

use super::body::{BodyError, EntryResponse, streamed};
use super::gates::GatePass;
use super::rooms::Rooms;
use crate::call::event_stream::EventStream;
use crate::http::hop_headers;
use crate::http::room::HeldBytes;
use crate::prelude::*;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use http::Response;
use hyper::body::Frame;

/// A stream with its part of the room for streams, if they are bounded.
struct Relayed {
    stream: EventStream,
    piece: Option<HeldBytes>,
    // Counts the stream as under way at its service, if it is that of a workspace.
    pass: Option<GatePass>,
    opened_at: Millis,
}

/// Returns the response to a client, whose bytes follow as they arrive.
pub(super) fn response(
    stream: EventStream,
    piece: Option<HeldBytes>,
    pass: Option<GatePass>,
) -> EntryResponse {
    let mut response = Response::new(());
    if let Some(head) = stream.head() {
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers.clone();
        hop_headers::remove(response.headers_mut());
    }
    let relayed = Relayed {
        stream,
        piece,
        pass,
        opened_at: now(),
    };
    let chunks = unfold(Some(relayed), |relayed| async {
        next_frame(relayed?).await
    });
    streamed(response, chunks.boxed_local())
}

/// Returns the next frame with the stream, without it if the stream has broken off; `None` at the
/// end of the stream.
async fn next_frame(
    mut relayed: Relayed,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<Relayed>)> {
    match relayed.stream.next().await {
        Ok(Some(bytes)) => {
            let held = bytes.len() + relayed.stream.buffered();
            let piece = relayed.piece.as_ref();
            if piece.is_some_and(|piece| !Rooms::resize_stream(piece, held)) {
                event(log::Level::Warn, "stream-no-room", || {
                    format!("request={} bytes={held}", relayed.stream.request())
                });
                return Some((Err(BodyError::from("no room")), None));
            }
            Some((Ok(Frame::data(bytes)), Some(relayed)))
        }
        Ok(None) => {
            if let Some(pass) = &relayed.pass {
                pass.served(now().since(relayed.opened_at));
            }
            None
        }
        Err(error) => Some((Err(BodyError::from(error)), None)),
    }
}
