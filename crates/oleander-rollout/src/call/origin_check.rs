//! Whether the record of what began a stream holds.

/// Whether the record of what began a stream holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginCheck {
    /// The endpoint that began the stream runs and reports the start that the record names.
    Confirmed,
    /// Nothing contradicts the record; its endpoint is gone, silent or reports no start.
    Uncontradicted,
    /// The record may name a software version that did not begin the stream.
    Doubted,
}
