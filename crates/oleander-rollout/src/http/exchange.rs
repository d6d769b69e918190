//! A response whose body is read from its connection.

use super::body_budget::BodyBudget;
use super::pooled_connection::PooledConnection;
use super::send_error::SendError;
use crate::prelude::*;
use bytes::BytesMut;
use http::response::Parts;
use hyper::body::{Body, Frame, Incoming};
use std::pin::Pin;

/// A response whose body has not been read yet. Dropping it before the end of the body closes the
/// connection.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<PooledConnection>,
    reusable: bool,
}

impl Exchange {
    pub(super) fn new(head: Parts, body: Incoming, connection: PooledConnection) -> Self {
        Self {
            head,
            body,
            connection: Some(connection),
            reusable: true,
        }
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
    pub async fn collect(mut self, max_bytes: usize) -> Result<(Parts, Bytes), SendError> {
        let budget = self.connection.as_ref().map(|used| &used.pool.bodies);
        let mut memory = budget.map(BodyBudget::body);
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            let fits = memory
                .as_mut()
                .is_none_or(|memory| memory.take(chunk.len()));
            if !fits || body.len() + chunk.len() > max_bytes {
                let bytes = body.len() + chunk.len();
                return Err(SendError::no_answer(format!("a body of {bytes} bytes")));
            }
            body.extend_from_slice(&chunk);
        }
        Ok((self.head, body.freeze()))
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.reusable) {
            connection.release(&self.head.headers);
        }
    }
}
