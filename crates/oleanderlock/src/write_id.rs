//! Identity of a write to the store.

use serde::{Deserialize, Serialize};

/// Identifies a write; drawn at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);
