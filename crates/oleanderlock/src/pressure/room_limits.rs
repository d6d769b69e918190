//! Limits of a room for bytes.

/// Limits of a [`ByteRoom`](super::byte_room::ByteRoom), in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomLimits {
    /// Bytes that all pieces may use together.
    pub total: usize,
    /// Bytes beyond `total` for small pieces, so that they pass while large ones fill the room.
    pub reserve: usize,
    /// Longest small piece.
    pub small: usize,
}
