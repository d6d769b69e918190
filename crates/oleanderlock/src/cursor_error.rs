//! Errors of parsing a cursor.

use derive_more::{Display, Error};

/// Why a text is not a valid cursor of the step.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum CursorError {
    /// The text is not lower-case hexadecimal.
    #[display("the cursor is not lower-case hexadecimal")]
    NotHex,
    /// The text has another length than the cursors of this step.
    #[display("the cursor has the wrong length")]
    WrongLength,
    /// The cursor belongs to a step with another number of slots.
    #[display("the cursor is of a step with {found} slots, not {expected}")]
    WrongSlots {
        /// Number of slots of the step.
        expected: u32,
        /// Number of slots in the cursor.
        found: u32,
    },
    /// The text was altered or belongs to another step.
    #[display("the checksum of the cursor does not match this step")]
    WrongChecksum,
    /// The bitmap is empty or has bits beyond the last slot.
    #[display("the bitmap of the cursor is empty or has bits beyond the last slot")]
    NotUnique,
}
