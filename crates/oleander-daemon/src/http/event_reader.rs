//! Reads server-sent events from the response of an engine.

use crate::http::engine_event::EngineEvent;
use crate::http::stream_error::StreamError;
use futures_lite::io::{AsyncBufReadExt, AsyncRead, BufReader};

/// Maximum length of a line, in bytes.
const LINE_MAX_BYTES: usize = 1 << 20;
/// Prefix of the lines that carry an event; other lines are skipped.
const DATA: &[u8] = b"data:";

/// Reads the events of one response.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: BufReader<R>,
    line: Vec<u8>,
}

impl<R: AsyncRead + Unpin> EventReader<R> {
    /// Creates a reader of a response body.
    pub fn new(reader: R) -> Self {
        Self {
            reader: BufReader::new(reader),
            line: Vec::new(),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the connection ends, a line is too long, or an event is invalid.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        loop {
            self.line.clear();
            // `read_line` panics in debug builds if the connection breaks within a line.
            let read = self
                .reader
                .read_until(b'\n', &mut self.line)
                .await
                .map_err(|_| StreamError)?;
            if read == 0 || self.line.len() > LINE_MAX_BYTES {
                return Err(StreamError);
            }
            if let Some(data) = self.line.strip_prefix(DATA) {
                return serde_json::from_slice(data.trim_ascii()).map_err(|_| StreamError);
            }
        }
    }
}
