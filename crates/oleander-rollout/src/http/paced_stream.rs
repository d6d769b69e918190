//! A connection to a client that has to read what waits for it.

use crate::prelude::*;
use oleanderlock::pressure::reader_pace::ReaderPace;
use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A connection to a client; if it has a pace, writing fails once the client reads too little.
#[derive(Debug)]
pub(super) struct PacedStream {
    stream: TcpStream,
    pace: Option<ReaderPace>,
    timer: Option<Timer>,
}

impl PacedStream {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream, pace: Option<ReaderPace>) -> Self {
        Self {
            stream,
            pace,
            timer: None,
        }
    }

    /// Returns whether the client has read too little, and otherwise wakes the task when it has.
    fn is_too_slow(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(pace) = &mut self.pace else {
            return false;
        };
        let now = now();
        let until = pace.block(now);
        let timer = self
            .timer
            .get_or_insert_with(|| Timer::after(until.since(now).into()));
        Pin::new(timer).poll(cx).is_ready()
    }

    /// Counts what was written; turns a write that waits into an error once the client reads too little.
    fn check_pace(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        match &written {
            Poll::Pending if self.is_too_slow(cx) => {
                event(log::Level::Info, "reader-too-slow", || {
                    let peer = self.stream.peer_addr();
                    let peer = peer.map_or_else(|_| "unknown".to_owned(), |peer| peer.to_string());
                    format!("peer={peer}")
                });
                let reason = "the client reads too slowly";
                return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, reason)));
            }
            Poll::Ready(Ok(bytes)) => {
                self.timer = None;
                if let Some(pace) = &mut self.pace {
                    pace.take(now(), *bytes);
                }
            }
            Poll::Pending | Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_pace(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_pace(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
