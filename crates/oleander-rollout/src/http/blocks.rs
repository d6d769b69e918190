//! A body in blocks, which are freed as they are sent.

use super::room::HeldBytes;
use crate::prelude::*;
use bytes::{Buf, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Longest block, in bytes; below the size from which the allocator maps memory for each.
const BLOCK_BYTES: usize = 64 << 10;
/// Bytes that are handed on at a time; what is handed on is copied into the buffer of the
/// connection, which keeps its size as long as the connection is open.
const SLICE_BYTES: usize = 16 << 10;

/// A whole body in blocks, which are freed as they are sent. It holds its part of a room, if it is
/// bounded by one.
#[derive(Debug, Default)]
pub struct Blocks {
    done: VecDeque<Bytes>,
    open: BytesMut,
    bytes: usize,
    // Boxed, since bodies are moved with the outcomes of calls.
    held: Option<Box<HeldBytes>>,
}

impl Blocks {
    /// Returns an empty body whose memory `held` accounts for.
    pub fn new(held: Option<HeldBytes>) -> Self {
        Self {
            held: held.map(Box::new),
            ..Self::default()
        }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether the body has no byte.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns the body in one piece.
    pub fn into_bytes(mut self) -> Bytes {
        self.close_block();
        if self.done.len() <= 1 {
            return self.done.pop_front().unwrap_or_default();
        }
        let mut bytes = BytesMut::with_capacity(self.bytes);
        for block in self.done {
            bytes.extend_from_slice(&block);
        }
        bytes.freeze()
    }

    /// Returns the memory that is accounted for.
    pub fn held(&self) -> Option<&HeldBytes> {
        self.held.as_deref()
    }

    /// Appends a chunk; `more` is the number of bytes that are expected behind it.
    pub fn push(&mut self, mut chunk: &[u8], more: usize) {
        self.bytes += chunk.len();
        while !chunk.is_empty() {
            if self.open.capacity() == self.open.len() {
                self.close_block();
                // Blocks grow with a body whose length is not known, which may have many small chunks.
                let expected = chunk.len().saturating_add(more).max(self.bytes);
                self.open.reserve(expected.min(BLOCK_BYTES));
            }
            let room = self.open.capacity() - self.open.len();
            let (now, later) = chunk.split_at(room.min(chunk.len()));
            self.open.extend_from_slice(now);
            chunk = later;
        }
    }

    /// Ends the body: memory that was reserved for more of it is given back.
    pub fn finish(&mut self) {
        self.close_block();
        if let Some(held) = &self.held {
            held.try_resize(self.bytes);
        }
    }

    fn close_block(&mut self) {
        if !self.open.is_empty() {
            self.done.push_back(std::mem::take(&mut self.open).freeze());
        }
    }

    /// Removes and returns the next slice.
    fn next_slice(&mut self) -> Option<Bytes> {
        self.close_block();
        let block = self.done.front_mut()?;
        let slice = block.split_to(block.len().min(SLICE_BYTES));
        self.bytes -= slice.len();
        if block.is_empty() {
            self.done.pop_front();
            if let Some(held) = &self.held {
                held.try_resize(self.bytes);
            }
        }
        Some(slice)
    }
}

impl From<Bytes> for Blocks {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes: bytes.remaining(),
            done: VecDeque::from([bytes]),
            ..Self::default()
        }
    }
}

impl Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_slice().map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}
