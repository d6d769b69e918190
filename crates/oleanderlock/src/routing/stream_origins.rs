//! What began the newest streams.
//!
//! Load pattern: an entry or many endpoints are lost at once, and the clients of all streams there
//! resume them within seconds, at other entries, while endpoints of two software versions serve.

use super::stream_origin::StreamOrigin;
use indexmap::IndexMap;

/// Longest id of a stream that is recorded, in bytes.
const ID_MAX_BYTES: usize = 128;
/// Part of the records that is removed when there are too many, so that removal is rare.
const REMOVED_DIVISOR: usize = 4;

/// What began the newest streams, by the id of the attempt that brought the first event.
///
/// Memory is bounded by the number of records and the length of an id.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    records_max: usize,
    // `None` for an id that stands for streams of different origins.
    by_id: IndexMap<String, Option<StreamOrigin>>,
}

impl StreamOrigins {
    /// Creates a collection of at most `records_max` records.
    pub fn new(records_max: usize) -> Self {
        Self {
            records_max,
            by_id: IndexMap::new(),
        }
    }

    /// Records what began a stream; an id that is too long is left out.
    pub fn record(&mut self, id: &str, origin: StreamOrigin) {
        if id.is_empty() || id.len() > ID_MAX_BYTES {
            return;
        }
        if let Some(known) = self.by_id.get_mut(id) {
            if known.as_ref() != Some(&origin) {
                *known = None;
            }
            return;
        }
        if self.by_id.len() >= self.records_max {
            let removed = (self.records_max / REMOVED_DIVISOR).max(1);
            self.by_id.drain(..removed.min(self.by_id.len()));
        }
        self.by_id.insert(id.to_owned(), Some(origin));
    }

    /// Returns what began a stream; `None` if it is not known for certain.
    pub fn get(&self, id: &str) -> Option<&StreamOrigin> {
        self.by_id.get(id)?.as_ref()
    }
}
