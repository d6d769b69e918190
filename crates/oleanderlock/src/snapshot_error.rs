//! Errors of snapshot files.

use crate::snapshot::FORMAT_VERSION;
use derive_more::{Display, Error};

/// Why a snapshot can't be decoded or encoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file is shorter than the header or does not start with the magic bytes.
    #[display("not a snapshot file")]
    NotASnapshot,
    /// The file has another version of the format.
    #[display("snapshot has format version {found}, expected {FORMAT_VERSION}")]
    FormatVersion {
        /// Version in the header of the file.
        found: u32,
    },
    /// The file is shorter or longer than its header says.
    #[display("snapshot body has {found} bytes, expected {expected}")]
    Length {
        /// Bytes after the header.
        found: u64,
        /// Length of the body in the header.
        expected: u64,
    },
    /// The hash does not match the contents.
    #[display("snapshot has a wrong checksum")]
    Checksum,
    /// The body is not valid JSON, or a value is not UTF-8.
    #[display("snapshot body is malformed")]
    Malformed,
    /// The file belongs to another deployment.
    #[display("snapshot belongs to deployment `{found}`")]
    Foreign {
        /// Name of the deployment in the file.
        found: String,
    },
}
