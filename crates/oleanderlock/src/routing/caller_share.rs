//! Share of one process in the rate limit of an endpoint.
//!
//! Load pattern: many processes call an endpoint that takes a few requests a second from all of them
//! together, without an exchange of messages for each request. The limit is divided among a few
//! holders, which change with the epoch, so that each process gets a turn. Fewer holders than
//! processes are needed because each one may send a request at any moment: a thousand processes
//! with a thousandth of the limit each could still send a thousand requests at once.

use super::caller_grant::CallerGrant;
use super::request_rate::RequestRate;
use crate::affinity_score::hash_bytes;

/// Length of an epoch, in milliseconds. It exceeds twice the difference between the clocks of two
/// processes by more than the few seconds over which endpoints count.
const EPOCH_MS: u64 = 10_000;
/// Requests that all holders together may send at once, besides those of one second.
const BURST_BASE: f64 = 1.0;
/// Assumed number of processes while it is not known.
const CALLERS_UNKNOWN: usize = 64;

/// Share of one process in the rate limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerShare {
    callers: usize,
    index: usize,
    // Part of the limit that these callers divide.
    percent: u32,
}

impl CallerShare {
    /// Returns the share of the process at place `index`, from 0, of `callers` processes.
    pub fn new(callers: usize, index: usize) -> Self {
        Self {
            callers: callers.max(1),
            index,
            percent: 100,
        }
    }

    /// Returns the share of the only process that calls the endpoint.
    pub fn sole() -> Self {
        Self::new(1, 0)
    }

    /// Returns the share of the process `name` while the number of processes is not known.
    pub fn unknown(name: &str) -> Self {
        let index = hash_bytes(name.as_bytes()) % CALLERS_UNKNOWN as u64;
        Self::new(CALLERS_UNKNOWN, index as usize)
    }

    /// Returns the same share of `percent` of the limit.
    #[must_use]
    pub fn of_percent(self, percent: u32) -> Self {
        Self { percent, ..self }
    }

    /// Returns what the process may send to `instance` with the limit `limit`; `None` if it is no
    /// holder in the current epoch.
    pub fn grant(self, instance: &str, limit: RequestRate, unix_ms: u64) -> Option<CallerGrant> {
        let rate = limit.per_second() * f64::from(self.percent) / 100.0;
        let burst = rate + BURST_BASE;
        let holders = (burst as usize).clamp(1, self.callers);
        let epoch = unix_ms / EPOCH_MS;
        let first = hash_bytes(format!("{instance}/{epoch}").as_bytes()) % self.callers as u64;
        let place = (self.callers + self.index % self.callers - first as usize) % self.callers;
        (place < holders).then(|| CallerGrant {
            per_second: rate / holders as f64,
            burst: (burst / holders as f64) as u64,
        })
    }
}
