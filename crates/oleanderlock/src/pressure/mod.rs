//! Bounds on the bytes that wait in a process, and on the time for which they wait.

pub mod byte_room;
pub mod reader_pace;
pub mod response_sizes;
pub mod room_limits;
pub mod token_room;
