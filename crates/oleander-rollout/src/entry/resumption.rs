//! What a request for a stream says of an earlier attempt that it goes on from.

use super::request_head::text;
use http::HeaderMap;
use oleander_platform::headers::{LAST_EVENT_ID, RESUMES};

/// What a request for a stream says of an earlier attempt that it goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the attempt that brought the first event; `None` if the request names none.
    pub stream: Option<String>,
    /// Number of the last event that the client has.
    pub after_event: u64,
}

impl Resumption {
    /// Reads the headers of a request; `None` if it asks for the stream from its first event.
    ///
    /// # Errors
    ///
    /// What is wrong with the number of the last event.
    pub fn read(headers: &HeaderMap) -> Result<Option<Self>, String> {
        match headers.get_all(LAST_EVENT_ID).iter().count() {
            0 => return Ok(None),
            1 => {}
            more => return Err(format!("{more} numbers of the last event")),
        }
        let number = text(headers, LAST_EVENT_ID).unwrap_or_default();
        let after_event = number.trim().parse();
        let after_event = after_event.map_err(|err| format!("last event {number:?}: {err}"))?;
        if after_event == 0 {
            return Ok(None);
        }
        Ok(Some(Self {
            stream: text(headers, RESUMES).map(str::to_owned),
            after_event,
        }))
    }

    /// Returns the pairs of a log line that name what is resumed.
    pub fn pairs(&self) -> String {
        let stream = self.stream.as_deref().unwrap_or("unnamed");
        format!(" resumes={stream:?} after_event={}", self.after_event)
    }
}
