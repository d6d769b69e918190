//! The monotonic clock of a process.

use oleanderlock::prelude::*;
use std::sync::OnceLock;
use std::time::Instant;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the process first asked.
pub fn now() -> Millis {
    ORIGIN.get_or_init(Instant::now).elapsed().into()
}
