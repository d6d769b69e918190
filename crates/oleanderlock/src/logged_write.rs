//! A write in the log of an object.

use crate::write_id::WriteId;
use serde::{Deserialize, Serialize};

/// A write in the log of the object that it changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoggedWrite {
    /// Identity of the write.
    pub id: WriteId,
    /// Version that the write replaced.
    pub base: u64,
}
