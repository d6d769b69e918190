//! Items that almost every module uses.

pub use crate::observe::event_log::event;
pub use crate::runtime::{sleep, spawn, within};
pub use bytes::Bytes;
pub use oleander_base::boot_clock::now;
pub use oleander_base::logging::unix_ms;
pub use oleanderlock::prelude::*;
