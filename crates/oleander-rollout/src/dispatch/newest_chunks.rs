//! What a new leader read of the result log before leading.

/// The newest chunks, which were read before leading.
#[derive(Clone, Copy, Debug)]
pub struct NewestChunks {
    /// Number of the first chunk that was read.
    pub first: u64,
    /// Number of results in all of them.
    pub results: usize,
    /// Whether the log may have older chunks.
    pub has_older: bool,
}
