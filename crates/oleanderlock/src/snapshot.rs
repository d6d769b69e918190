//! Encoding of a file with the current configuration, for a cold start while the store is down.
//!
//! Layout, with little-endian numbers: the magic bytes, the format version (4 bytes), the length
//! of the body (8 bytes), the BLAKE3 hash of version, length and body (32 bytes), the body as
//! JSON. A file that is truncated, corrupt, of another format or of another deployment is an
//! error; the caller starts without it. Entries are applied through the journal, so an old file
//! reverts nothing.

use crate::journal_messages::JournalEntry;
use crate::prelude::*;
use crate::snapshot_error::SnapshotError;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"OLNDSNAP";
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Offset of the body's length in bytes.
const LENGTH_OFFSET: usize = 12;
/// Offset of the hash in bytes.
const HASH_OFFSET: usize = 20;
/// Offset of the body in bytes.
const BODY_OFFSET: usize = 52;

#[derive(Serialize, Deserialize)]
struct Body {
    deployment: String,
    entries: Vec<Row>,
}

#[derive(Serialize, Deserialize)]
struct Row {
    name: String,
    generation: Generation,
    value: String,
}

/// Encodes the entries of a journal. The caller writes the bytes to a new file, flushes it and
/// renames it over the old one.
///
/// # Errors
///
/// [`SnapshotError::Malformed`] if a value is not UTF-8; all values of the store are.
pub fn encode(deployment: &str, entries: Vec<JournalEntry>) -> Result<Bytes, SnapshotError> {
    let rows: Result<Vec<Row>, SnapshotError> = entries.into_iter().map(row_of).collect();
    let body = Body {
        deployment: deployment.to_owned(),
        entries: rows?,
    };
    let body = serde_json::to_vec(&body).map_err(|_| SnapshotError::Malformed)?;
    let version = FORMAT_VERSION.to_le_bytes();
    let length = (body.len() as u64).to_le_bytes();
    let hash = hash(&version, &length, &body);
    let parts: [&[u8]; 5] = [&MAGIC, &version, &length, hash.as_bytes(), &body];
    Ok(parts.concat().into())
}

/// Decodes the bytes of a file.
///
/// # Errors
///
/// The file is damaged or not meant for this process; none of it may be used.
pub fn decode(deployment: &str, buf: &[u8]) -> Result<Vec<JournalEntry>, SnapshotError> {
    let body: Body =
        serde_json::from_slice(checked_body(buf)?).map_err(|_| SnapshotError::Malformed)?;
    if body.deployment != deployment {
        return Err(SnapshotError::Foreign {
            found: body.deployment,
        });
    }
    Ok(body.entries.into_iter().map(entry_of).collect())
}

fn checked_body(buf: &[u8]) -> Result<&[u8], SnapshotError> {
    if buf.len() < BODY_OFFSET || buf[..MAGIC.len()] != MAGIC {
        return Err(SnapshotError::NotASnapshot);
    }
    let version = &buf[MAGIC.len()..LENGTH_OFFSET];
    let length = &buf[LENGTH_OFFSET..HASH_OFFSET];
    let body = &buf[BODY_OFFSET..];
    let found = version
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u32::from(*byte));
    if found != FORMAT_VERSION {
        return Err(SnapshotError::FormatVersion { found });
    }
    let expected = length
        .iter()
        .rev()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    let found = body.len() as u64;
    if found != expected {
        return Err(SnapshotError::Length { found, expected });
    }
    if hash(version, length, body).as_bytes()[..] != buf[HASH_OFFSET..BODY_OFFSET] {
        return Err(SnapshotError::Checksum);
    }
    Ok(body)
}

fn hash(version: &[u8], length: &[u8], body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(version).update(length).update(body);
    hasher.finalize()
}

fn row_of(entry: JournalEntry) -> Result<Row, SnapshotError> {
    let value = String::from_utf8(entry.value.to_vec()).map_err(|_| SnapshotError::Malformed)?;
    Ok(Row {
        name: entry.name,
        generation: entry.generation,
        value,
    })
}

fn entry_of(row: Row) -> JournalEntry {
    JournalEntry {
        name: row.name,
        generation: row.generation,
        value: row.value.into(),
    }
}
