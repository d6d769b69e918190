//! Reads server-sent events from an engine's answer.

use futures_lite::io::{AsyncBufReadExt, AsyncRead, BufReader};
use serde::Deserialize;

/// Longest event line, in bytes.
const LINE_MAX_BYTES: usize = 1 << 20;
const DATA: &str = "data:";

/// One event of an engine's stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(untagged)]
pub enum EngineEvent {
    /// The answer is whole.
    Done {
        /// Always true.
        done: bool,
        /// Tokens in the whole answer.
        total: u64,
    },
    /// Some tokens.
    Tokens {
        /// Offset of the first token.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Text of the tokens.
        text: String,
        /// Weight version that made them; `None` when the engine does not know.
        version: Option<u64>,
    },
}

/// Why a stream ended without its end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

/// A stream of events.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: BufReader<R>,
    line: String,
}

impl<R: AsyncRead + Unpin> EventReader<R> {
    /// Starts to read.
    pub fn new(reader: R) -> Self {
        Self {
            reader: BufReader::new(reader),
            line: String::new(),
        }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// [`StreamBroken`] when the connection ends, or sends what is no event.
    pub async fn next(&mut self) -> Result<EngineEvent, StreamBroken> {
        loop {
            self.line.clear();
            let read = self
                .reader
                .read_line(&mut self.line)
                .await
                .map_err(|_| StreamBroken)?;
            if read == 0 || self.line.len() > LINE_MAX_BYTES {
                return Err(StreamBroken);
            }
            if let Some(data) = self.line.strip_prefix(DATA) {
                return serde_json::from_str(data.trim()).map_err(|_| StreamBroken);
            }
        }
    }
}
