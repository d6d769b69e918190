//! Requests under which endpoints have crashed.
//!
//! Load pattern: a request crashes each endpoint that runs it, and its client sends it again, with a
//! new id and to any entry. Other requests were in flight at the same endpoints and are not the
//! cause; they succeed elsewhere soon, which clears them.

use super::request_content::RequestContent;
use crate::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Crashes of different instances after which a request is not sent any more.
pub const CRASHES_MAX: usize = 3;
/// Crashes after which one call makes no further attempt.
pub const CRASHES_PER_CALL_MAX: usize = 2;
/// Time after the first crash under a request within which a retry may still show that the request is
/// not the cause, so that others need not know of it.
const FIRST_REPORT_DELAY: Millis = Millis(500);
/// Time for which a crash counts, in milliseconds.
pub const KEEP_MS: u64 = 600_000;
/// Most requests that are remembered; the one that was recorded first is removed first.
const REQUESTS_MAX: usize = 4096;
/// Most instances that are remembered for one request.
const INSTANCES_MAX: usize = 16;

/// Returns how long a process waits before it tells others of a request under which it knows of
/// `crashes` crashes.
///
/// A retry has already failed after the second crash: until others know of it, the next repetition
/// crashes as many endpoints at each of them.
pub fn report_delay(crashes: usize) -> Millis {
    if crashes < CRASHES_PER_CALL_MAX {
        FIRST_REPORT_DELAY
    } else {
        Millis::ZERO
    }
}

/// Crashes under one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Instances that have crashed.
    pub instances: IndexSet<String>,
    /// Unix time of the last crash, in milliseconds.
    pub last_unix_ms: u64,
}

/// Requests under which endpoints have crashed, with the instances that did.
///
/// Memory is bounded by [`REQUESTS_MAX`] requests with [`INSTANCES_MAX`] instance ids each.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_content: IndexMap<String, Crashes>,
}

impl CrashSuspects {
    /// Records crashes under a request.
    pub fn record(&mut self, content: &str, crashes: &Crashes) {
        if !self.by_content.contains_key(content) && self.by_content.len() >= REQUESTS_MAX {
            self.by_content.shift_remove_index(0);
        }
        let known = self.by_content.entry(content.to_owned()).or_default();
        known.merge(crashes);
    }

    /// Forgets the crashes under a request; returns whether there were any.
    pub fn clear(&mut self, content: &str) -> bool {
        self.by_content.shift_remove(content).is_some()
    }

    /// Returns the crashes under a request that still count; `None` without any.
    pub fn crashes(&self, content: &RequestContent, now_unix_ms: u64) -> Option<&Crashes> {
        let known = self.by_content.get(content.as_str());
        known.filter(|known| known.last_unix_ms.saturating_add(KEEP_MS) > now_unix_ms)
    }

    /// Whether there is no request under which an endpoint has crashed.
    pub fn is_empty(&self) -> bool {
        self.by_content.is_empty()
    }
}

impl Crashes {
    /// Returns the crash of one instance.
    pub fn of(instance: &str, unix_ms: u64) -> Self {
        Self {
            instances: [instance.to_owned()].into_iter().collect(),
            last_unix_ms: unix_ms,
        }
    }

    /// Adds other crashes under the same request; returns whether some of them are new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.instances.len();
        for instance in &other.instances {
            if self.instances.len() < INSTANCES_MAX {
                self.instances.insert(instance.clone());
            }
        }
        self.last_unix_ms = self.last_unix_ms.max(other.last_unix_ms);
        self.instances.len() > before
    }
}
