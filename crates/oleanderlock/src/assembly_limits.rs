//! Bounds on the memory of a streamed answer.

/// Bounds on the memory of one assembly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AssemblyLimits {
    /// Most bytes of text of the answer.
    pub answer_bytes: usize,
    /// Most bytes of text buffered out of order.
    pub pending_bytes: usize,
    /// Most chunks buffered out of order.
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
