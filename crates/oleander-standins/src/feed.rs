//! A response body that is fed from a channel.

use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes};
use futures_lite::{AsyncRead, Stream, ready};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use trillium::Body;

/// Fills the response buffer of the server, so that the head goes out with the first event.
const PADDING_BYTES: usize = 600;

/// Sending half of a body; an error item breaks the connection, dropping it ends the body.
pub type FeedSender = Sender<io::Result<Bytes>>;

/// Returns a sender and the body that it feeds; the queue is bounded by what the sender makes.
pub fn open() -> (FeedSender, Body) {
    let (tx, rx) = async_channel::unbounded();
    let feed = Feed {
        rx: Box::pin(rx),
        rest: Bytes::new(),
    };
    (tx, Body::new_streaming(feed, None))
}

/// Returns a server-sent comment that is larger than the response buffer of the server.
pub fn padding() -> Bytes {
    let mut text = String::with_capacity(PADDING_BYTES + 3);
    text.push(':');
    text.extend(std::iter::repeat_n(' ', PADDING_BYTES));
    text.push_str("\n\n");
    text.into()
}

struct Feed {
    rx: Pin<Box<Receiver<io::Result<Bytes>>>>,
    rest: Bytes,
}

impl AsyncRead for Feed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.rest.is_empty() {
            match ready!(self.rx.as_mut().poll_next(cx)) {
                None => return Poll::Ready(Ok(0)),
                Some(Err(e)) => return Poll::Ready(Err(e)),
                Some(Ok(bytes)) => self.rest = bytes,
            }
        }
        let len = self.rest.len().min(buf.len());
        self.rest.copy_to_slice(&mut buf[..len]);
        Poll::Ready(Ok(len))
    }
}
