//! A connection whose reader yields to other tasks.
//!
//! A remote side that sends faster than this process reads would otherwise keep the thread to
//! itself: the HTTP parser reads on, as with interim responses, until a read would block.

use crate::prelude::*;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Bytes that are read before other tasks run.
const TURN_BYTES: usize = 256 << 10;
/// Reads before other tasks run.
const TURN_READS: usize = 32;
/// Bytes of one read at most. The HTTP parser doubles its buffer, up to 400 KB for each connection,
/// as long as reads fill it.
const READ_BYTES: usize = 16 << 10;
/// Longest head of a response, with all interim responses before it, in bytes.
const HEAD_MAX_BYTES: usize = 256 << 10;

/// Bytes that may still be read before the head of the response is complete; `None` while no
/// request waits for one.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts to count, as a request is sent.
    pub(super) fn start(&self) {
        self.0.set(Some(HEAD_MAX_BYTES));
    }

    /// Stops counting, as the head is complete.
    pub(super) fn stop(&self) {
        self.0.set(None);
    }

    /// Counts bytes; returns whether the limit is exceeded.
    fn exceeds(&self, bytes: usize) -> bool {
        let Some(left) = self.0.get() else {
            return false;
        };
        self.0.set(Some(left.saturating_sub(bytes)));
        bytes > left
    }
}

/// A connection whose reader yields to other tasks after [`TURN_BYTES`] or [`TURN_READS`].
#[derive(Debug)]
pub(super) struct FairStream {
    stream: TcpStream,
    head_limit: HeadLimit,
    turn_bytes: usize,
    turn_reads: usize,
}

impl FairStream {
    /// Wraps a connection whose heads of responses are limited by `head_limit`.
    pub(super) fn new(stream: TcpStream, head_limit: HeadLimit) -> Self {
        Self {
            stream,
            head_limit,
            turn_bytes: 0,
            turn_reads: 0,
        }
    }

    fn end_turn(&mut self) {
        self.turn_bytes = 0;
        self.turn_reads = 0;
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.turn_bytes >= TURN_BYTES || self.turn_reads >= TURN_READS {
            self.end_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buf.len().min(READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]);
        match &read {
            Poll::Pending => self.end_turn(),
            Poll::Ready(Ok(bytes)) if self.head_limit.exceeds(*bytes) => {
                event(log::Level::Warn, "head-too-long", || {
                    format!("bytes={HEAD_MAX_BYTES}")
                });
                let reason = "the head of the response is too long";
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, reason)));
            }
            Poll::Ready(Ok(bytes)) => {
                self.turn_bytes += bytes;
                self.turn_reads += 1;
            }
            Poll::Ready(Err(_)) => {}
        }
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
