//! A sample to generate.

/// A sample to generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSpec<'a> {
    /// The prompt.
    pub prompt: &'a str,
    /// Number of tokens to generate.
    pub tokens: u64,
}
