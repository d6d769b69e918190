//! What a new leader read of the result log before leading.

/// Summary of the newest chunks of the result log, which a new leader reads before leading.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewestChunks {
    /// Number of the first chunk that was read; `None` if there is none.
    pub first_chunk: Option<u64>,
    /// Number of results in the chunks that were read.
    pub result_count: usize,
    /// Whether the log may have older chunks.
    pub has_older: bool,
}
