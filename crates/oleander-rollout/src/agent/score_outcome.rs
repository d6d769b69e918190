//! Outcome of scoring a text.

/// Outcome of scoring a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// The score; `None` when the item needs none.
    Score(Option<String>),
    /// The scoring service failed as often as the route allows attempts.
    NeverScored,
}
