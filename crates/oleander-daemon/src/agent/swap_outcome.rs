//! Outcome of an order to load a weight version.

/// Outcome of an order to load a weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The engine serves the version now.
    Loaded,
    /// The engine refused the order because of its old fencing number.
    OldFence,
    /// The order failed or got no response; which version is loaded is unknown until the next probe.
    Unknown,
}
