//! How the choosers of a replay choose.

/// How the choosers of a replay choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any endpoint.
    Random,
    /// The one with the fewest occupied slots by the last report.
    LeastReport,
    /// The one of two random ones with the fewer occupied slots by the last report.
    TwoRandom,
    /// `endpoint_pick`.
    Current,
    /// `even_choice`.
    Even,
}
