//! A monotonic clock that starts with the process; its times mean nothing to other processes.

use oleanderlock::prelude::*;
use std::sync::OnceLock;
use std::time::Instant;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the first call in this process.
pub fn now() -> Millis {
    ORIGIN.get_or_init(Instant::now).elapsed().into()
}
