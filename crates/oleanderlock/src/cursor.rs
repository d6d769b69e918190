//! The set of a step's slots whose samples the trainer has.
//!
//! The trainer sends a cursor as text. The text is empty if the trainer has no slot. Otherwise it
//! consists of lower-case hexadecimal digits of the slot count (4 bytes, little endian), the
//! bitmap (slot 0 is the lowest bit of the first byte) and a checksum of 8 bytes over the step's
//! tag and the rest. Each cursor has exactly one text, so texts can be compared for equality.

use crate::cursor_error::CursorError;
use crate::step_tag::StepTag;
use std::fmt;

/// Length of the slot count in bytes.
const COUNT_BYTES: usize = 4;
/// Length of the checksum in bytes.
const CHECKSUM_BYTES: usize = 8;

/// The slots that the trainer has, as a bitmap with one bit per slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cursor {
    tag: StepTag,
    slots: u32,
    bits: Vec<u8>,
}

impl Cursor {
    /// Returns the cursor of a trainer that has no slot of the step.
    pub fn empty(tag: StepTag, slots: u32) -> Self {
        Self {
            tag,
            slots,
            bits: vec![0; bitmap_bytes(slots)],
        }
    }

    /// Parses the text of a cursor of the step with this tag and number of slots.
    pub fn parse(text: &str, tag: StepTag, slots: u32) -> Result<Self, CursorError> {
        if text.is_empty() {
            return Ok(Self::empty(tag, slots));
        }
        let bytes = decode_hex(text)?;
        let cursor = Self::from_bytes(&bytes, tag, slots)?;
        match cursor.is_unique() {
            true => Ok(cursor),
            false => Err(CursorError::NotUnique),
        }
    }

    /// Returns whether the cursor holds the slot with number `position`.
    pub fn contains(&self, position: u32) -> bool {
        let byte = self.bits.get((position / 8) as usize);
        byte.is_some_and(|byte| byte & mask(position) != 0)
    }

    /// Adds the slot with number `position`; ignores positions beyond the last slot.
    pub fn insert(&mut self, position: u32) {
        if position >= self.slots {
            return;
        }
        self.bits[(position / 8) as usize] |= mask(position);
    }

    /// Adds all slots that `other` holds.
    pub fn insert_all(&mut self, other: &Self) {
        let pairs = self.bits.iter_mut().zip(&other.bits);
        pairs.for_each(|(own, o)| *own |= o);
    }

    /// Returns the number of slots held.
    pub fn held(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns the number of slots not held.
    pub fn remaining(&self) -> u32 {
        self.slots - self.held()
    }

    /// Returns whether this cursor holds every slot of `other`.
    pub fn includes(&self, other: &Self) -> bool {
        let pairs = self.bits.iter().zip(&other.bits);
        self.bits.len() == other.bits.len() && pairs.into_iter().all(|(own, o)| own & o == *o)
    }

    fn from_bytes(bytes: &[u8], tag: StepTag, slots: u32) -> Result<Self, CursorError> {
        let (body, checksum) = bytes
            .split_last_chunk::<CHECKSUM_BYTES>()
            .ok_or(CursorError::WrongLength)?;
        let (count, bits) = body
            .split_first_chunk::<COUNT_BYTES>()
            .ok_or(CursorError::WrongLength)?;
        let found = u32::from_le_bytes(*count);
        if found != slots {
            return Err(CursorError::WrongSlots {
                expected: slots,
                found,
            });
        }
        if bits.len() != bitmap_bytes(slots) {
            return Err(CursorError::WrongLength);
        }
        if checksum_of(tag, body) != *checksum {
            return Err(CursorError::WrongChecksum);
        }
        Ok(Self {
            tag,
            slots,
            bits: bits.to_vec(),
        })
    }

    fn is_unique(&self) -> bool {
        let beyond = self.slots..(self.bits.len() as u32 * 8);
        self.held() > 0 && beyond.into_iter().all(|position| !self.contains(position))
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.held() == 0 {
            return Ok(());
        }
        let mut bytes = self.slots.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.bits);
        let checksum = checksum_of(self.tag, &bytes);
        bytes.extend_from_slice(&checksum);
        bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

const fn bitmap_bytes(slots: u32) -> usize {
    slots.div_ceil(8) as usize
}

const fn mask(position: u32) -> u8 {
    1 << (position % 8)
}

fn checksum_of(tag: StepTag, body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&tag.0.to_le_bytes());
    hasher.update(body);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

fn decode_hex(text: &str) -> Result<Vec<u8>, CursorError> {
    if !text.len().is_multiple_of(2) {
        return Err(CursorError::WrongLength);
    }
    text.as_bytes()
        .chunks_exact(2)
        .map(|pair| Ok(digit(pair[0])? << 4 | digit(pair[1])?))
        .collect()
}

const fn digit(byte: u8) -> Result<u8, CursorError> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(CursorError::NotHex),
    }
}
