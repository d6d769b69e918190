//! Limits on the memory of a streamed answer.

/// Limits on the memory of one [`StreamAssembly`](crate::stream_assembly::StreamAssembly).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AssemblyLimits {
    /// Largest answer, in bytes of text.
    pub answer_bytes: usize,
    /// Most bytes of text in buffered out-of-order chunks.
    pub pending_bytes: usize,
    /// Most buffered out-of-order chunks.
    pub pending_chunks: usize,
}

impl Default for AssemblyLimits {
    fn default() -> Self {
        Self {
            answer_bytes: 1 << 20,
            pending_bytes: 64 << 10,
            pending_chunks: 64,
        }
    }
}
