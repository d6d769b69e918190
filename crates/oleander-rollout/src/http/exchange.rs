//! One request and its answer on a connection.

use super::pool::{Idle, Pool};
use super::send_error::SendError;
use crate::prelude::*;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use std::pin::Pin;
use std::rc::Rc;

/// An answer whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    lease: Option<Lease>,
}

/// A connection that goes back to its pool once the answer is whole.
#[derive(Debug)]
pub(super) struct Lease {
    pub(super) pool: Rc<Pool>,
    pub(super) idle: Idle,
}

impl Exchange {
    pub(super) fn new(head: Parts, body: Incoming, lease: Lease) -> Self {
        Self {
            head,
            body,
            lease: Some(lease),
        }
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the connection broke before the end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            let body = &mut self.body;
            let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
            match frame.map(|frame| frame.map(Frame::into_data)) {
                None => {
                    self.recycle();
                    return Ok(None);
                }
                Some(Ok(Ok(data))) => return Ok(Some(data)),
                // Trailers.
                Some(Ok(Err(_))) => {}
                Some(Err(fault)) => return Err(SendError::no_answer(fault)),
            }
        }
    }

    /// Reads the whole body, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`SendError::NoAnswer`] when the connection broke before the end, or the body is too large.
    pub async fn whole(mut self, max_bytes: usize) -> Result<(Parts, Bytes), SendError> {
        let limited = Limited::new(&mut self.body, max_bytes);
        let body = limited.collect().await.map_err(SendError::no_answer)?;
        let body = body.to_bytes();
        self.recycle();
        Ok((self.head, body))
    }

    fn recycle(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.pool.put_back(lease.idle, &self.head.headers);
        }
    }
}
