//! The prefix cache of an engine and the events that it publishes.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use strum::Display;

/// Leading bytes of a prompt that the cache knows it by.
pub const PREFIX_BYTES: usize = 256;
const PREFIX_HEX_LEN: usize = 16;
/// Events kept for readers.
const EVENTS_MAX: usize = 10_000;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum CacheEventKind {
    /// The prefix is in the cache now.
    Stored,
    /// The prefix was dropped to make room.
    Evicted,
}

/// One published change of the cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts all changes from 1.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Name of the prefix, as [`prefix_name`] gives it.
    pub prefix: String,
    /// When it happened, in microseconds of the engine's clock.
    #[serde(skip)]
    pub at_us: u64,
}

/// Prefixes in memory; the least recently used goes first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: IndexSet<String>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

/// Returns the first 16 hexadecimal digits of the BLAKE3 hash of the prompt's first 256 bytes.
pub fn prefix_name(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    let hex = blake3::hash(prefix).to_hex();
    hex[..PREFIX_HEX_LEN].to_owned()
}

impl PrefixCache {
    /// Marks the prefix of `prompt` as used now; returns whether it was there.
    pub fn touch(&mut self, prompt: &str, entries_max: usize, now_us: u64) -> bool {
        let prefix = prefix_name(prompt);
        let hit = self.entries.shift_remove(&prefix);
        self.entries.insert(prefix.clone());
        if !hit {
            self.publish(CacheEventKind::Stored, prefix, now_us);
        }
        while self.entries.len() > entries_max {
            if let Some(evicted) = self.entries.shift_remove_index(0) {
                self.publish(CacheEventKind::Evicted, evicted, now_us);
            }
        }
        hit
    }

    /// Returns the events after `after` that are at least `lag_us` old, without every `gap`th.
    pub fn events(&self, after: u64, lag_us: u64, gap: u64, now_us: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.seq > after)
            .filter(|event| event.at_us + lag_us <= now_us)
            .filter(|event| gap == 0 || !event.seq.is_multiple_of(gap))
            .cloned()
            .collect()
    }

    fn publish(&mut self, kind: CacheEventKind, prefix: String, at_us: u64) {
        self.seq += 1;
        let event = CacheEvent {
            seq: self.seq,
            kind,
            prefix,
            at_us,
        };
        self.events.push_back(event);
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
