//! Bounds on the bytes that wait in a process and on the time for which they wait, and its processor time.

pub mod byte_room;
pub mod lag_meter;
pub mod reader_pace;
pub mod response_sizes;
pub mod room_limits;
pub mod token_room;
