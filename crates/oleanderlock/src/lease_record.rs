//! The value of a lease object.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The value of a lease object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds or last held the lease.
    pub holder: Incarnation,
    /// Fencing number; increases whenever the lease is acquired.
    pub fence: Fence,
    /// Increases with every write, so that each write changes the record.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}
