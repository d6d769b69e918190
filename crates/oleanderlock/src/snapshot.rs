//! A file that holds the configuration in force, for a cold start while the store is down.
//!
//! Layout, numbers in little-endian order: the magic bytes, the format version (4 bytes), the
//! length of the body (8 bytes), the BLAKE3 hash of version, length and body (32 bytes), the body
//! as JSON. A file that is torn, changed, of another format or of another deployment is an error;
//! the caller starts without it. Entries go through the journal, so an old file reverts nothing.

use crate::journal_messages::JournalEntry;
use crate::prelude::*;
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"OLNDSNAP";
const FORMAT_VERSION: u32 = 1;
const LENGTH_AT: usize = 12;
const HASH_AT: usize = 20;
const BODY_AT: usize = 52;

/// Why a file is not believed, or can't be written.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file does not start like a snapshot.
    #[display("not a snapshot")]
    NotASnapshot,
    /// Another version of the format.
    #[display("format version {found}, expected {FORMAT_VERSION}")]
    FormatVersion {
        /// Version that the file names.
        found: u32,
    },
    /// The file is shorter or longer than it says.
    #[display("body of {found} bytes, expected {expected}")]
    Length {
        /// Bytes behind the header.
        found: u64,
        /// Bytes that the header names.
        expected: u64,
    },
    /// The hash does not fit the bytes.
    #[display("wrong checksum")]
    Checksum,
    /// The body can't be read or written.
    #[display("malformed body")]
    Malformed,
    /// The file is of another deployment.
    #[display("of deployment `{found}`")]
    Foreign {
        /// Deployment that the file names.
        found: String,
    },
}

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

/// Encodes the entries of a journal; write the bytes to a new file, flush it and rename it.
///
/// # Errors
///
/// [`SnapshotError::Malformed`] when a value is no UTF-8 text, as all values of the store are.
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
/// Any fault means that nothing of the file may be used.
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
    if buf.len() < BODY_AT || buf[..MAGIC.len()] != MAGIC {
        return Err(SnapshotError::NotASnapshot);
    }
    let version = &buf[MAGIC.len()..LENGTH_AT];
    let length = &buf[LENGTH_AT..HASH_AT];
    let body = &buf[BODY_AT..];
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
    if hash(version, length, body).as_bytes()[..] != buf[HASH_AT..BODY_AT] {
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
