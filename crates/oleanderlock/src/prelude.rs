//! Types that almost every module uses.

pub use crate::clock::Millis;
pub use crate::error_kind::ErrorKind;
pub use crate::error_response::ErrorResponse;
pub use crate::keys::{Fence, Generation, Incarnation, RequestId, SlotKey, Ticket, Version};
pub use crate::ran::Ran;
pub use crate::work_kind::WorkKind;
