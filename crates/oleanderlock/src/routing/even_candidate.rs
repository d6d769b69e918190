//! Candidate for the even choice of an endpoint.

use super::candidate::Candidate;

/// An endpoint that may be chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct EvenCandidate<'a> {
    /// Its entry, its health and its rate limit.
    pub candidate: Candidate<'a>,
    /// Whether this process has an idle connection to it.
    pub connected: bool,
}
