//! A response whose body is read from its connection.

use super::blocks::Blocks;
use super::body_budget::BodyBudget;
use super::pooled_connection::PooledConnection;
use super::room::HeldBytes;
use super::send_error::SendError;
use crate::prelude::*;
use http::response::Parts;
use hyper::body::{Body, Frame, Incoming};
use oleander_platform::headers;
use std::pin::Pin;

/// A response whose body has not been read yet. Dropping it before the end of the body closes the
/// connection.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<PooledConnection>,
    first_on_connection: bool,
    reusable: bool,
}

impl Exchange {
    pub(super) fn new(
        head: Parts,
        body: Incoming,
        connection: PooledConnection,
        first_on_connection: bool,
    ) -> Self {
        Self {
            head,
            body,
            connection: Some(connection),
            first_on_connection,
            reusable: true,
        }
    }

    /// Whether the request was the first one on its connection: the response can't be the late copy of
    /// an earlier one.
    pub fn is_first_on_connection(&self) -> bool {
        self.first_on_connection
    }

    /// Whether this may be the response to the request `id`: it names that request, or none and can't be
    /// the late copy of an earlier response.
    pub fn may_answer(&self, id: &str) -> bool {
        let echoed = self.head.headers.get(headers::REQUEST_ID);
        echoed.map_or(self.first_on_connection, |echoed| {
            echoed.as_bytes() == id.as_bytes()
        })
    }

    /// Whether the response names a request.
    pub fn names_request(&self) -> bool {
        self.head.headers.contains_key(headers::REQUEST_ID)
    }

    /// Closes the connection at the end of the body instead of keeping it for later requests.
    pub fn close_after_body(&mut self) {
        self.reusable = false;
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the connection broke before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            let body = &mut self.body;
            let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => {
                    self.release();
                    return Ok(None);
                }
                Some(Ok(Ok(data))) => return Ok(Some(data)),
                // Trailers are skipped.
                Some(Ok(Err(_))) => {}
                Some(Err(error)) => return Err(SendError::no_answer(error)),
            }
        }
    }

    /// Reads the whole body, of at most `max_bytes`, and returns it with status and headers.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the connection broke before the end of the body, or the body is
    /// longer than `max_bytes` or than the memory for bodies allows.
    pub async fn collect(self, max_bytes: usize) -> Result<(Parts, Bytes), SendError> {
        let (head, body) = self.collect_blocks(max_bytes).await?;
        Ok((head, body.into_bytes()))
    }

    /// Does the same as [`Self::collect`] and returns the body in blocks.
    ///
    /// # Errors
    ///
    /// The same.
    pub async fn collect_blocks(mut self, max_bytes: usize) -> Result<(Parts, Blocks), SendError> {
        let budget = self.connection.as_ref().map(|used| &used.pool.bodies);
        let mut memory = budget.map(BodyBudget::body);
        let mut body = Blocks::default();
        while let Some(chunk) = self.next_chunk().await? {
            let fits = memory
                .as_mut()
                .is_none_or(|memory| memory.take(chunk.len()));
            if !fits || body.len() + chunk.len() > max_bytes {
                return Err(too_long(body.len() + chunk.len()));
            }
            body.push(&chunk, self.bytes_left());
        }
        body.finish();
        Ok((self.head, body))
    }

    /// Does the same as [`Self::collect_blocks`] with a body that `held` accounts for, and waits until
    /// there is room for it: for all of it before it is read, if its length is known. `waiting` is
    /// called when it has to wait, and what it returns is dropped at the end of the wait.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the connection broke before the end of the body, or the body is
    /// longer than `max_bytes`.
    pub async fn collect_bounded<W>(
        mut self,
        max_bytes: usize,
        held: HeldBytes,
        waiting: impl Fn() -> W,
    ) -> Result<(Parts, Blocks), SendError> {
        let wait = async |held: &HeldBytes, bytes: usize| {
            if !held.try_resize(bytes) {
                let waits = waiting();
                held.resize(bytes).await;
                drop(waits);
            }
        };
        let expected = self.bytes_left();
        if expected > max_bytes {
            return Err(too_long(expected));
        }
        wait(&held, expected.max(held.bytes())).await;
        let mut body = Blocks::new(Some(held));
        while let Some(chunk) = self.next_chunk().await? {
            let bytes = body.len() + chunk.len();
            if bytes > max_bytes {
                return Err(too_long(bytes));
            }
            if let Some(held) = body.held()
                && held.bytes() < bytes
            {
                wait(held, bytes).await;
            }
            body.push(&chunk, self.bytes_left());
        }
        body.finish();
        Ok((self.head, body))
    }

    /// Returns the number of bytes that the rest of the body has; 0 if it is not known.
    fn bytes_left(&self) -> usize {
        let bytes = self.body.size_hint().exact().unwrap_or_default();
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.reusable) {
            connection.release(&self.head.headers);
        }
    }
}

/// Returns the error of a body that is too long.
fn too_long(bytes: usize) -> SendError {
    SendError::no_answer(format!("a body of {bytes} bytes"))
}
