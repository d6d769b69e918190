//! A call of the plain service, as its caller made it.

/// A call of the plain service, as its caller made it.
#[derive(Clone, Debug)]
pub struct KnownCall {
    /// Whether it may run at most once.
    pub once: bool,
    pub target: String,
    /// Whether it was refused, so that it must not run.
    pub refused: bool,
}
