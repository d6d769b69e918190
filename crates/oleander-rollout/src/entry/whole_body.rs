//! The body of a whole response, which waits for its client.

use crate::http::blocks::Blocks;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a whole response; logs when its client leaves before it has read it.
#[derive(Debug)]
pub struct WholeBody {
    blocks: Blocks,
    request: String,
    metrics: Metrics,
}

impl WholeBody {
    /// Returns the body of the response to the request with this id.
    pub fn new(blocks: Blocks, request: String, metrics: Metrics) -> Self {
        Self {
            blocks,
            request,
            metrics,
        }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.blocks).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.blocks.size_hint()
    }
}

impl Drop for WholeBody {
    fn drop(&mut self) {
        if self.blocks.is_empty() {
            return;
        }
        self.metrics.count_event("response_unread");
        event(log::Level::Info, "response-unread", || {
            format!("request={} bytes_left={}", self.request, self.blocks.len())
        });
    }
}
