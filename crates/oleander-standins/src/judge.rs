//! Judges answers and samples by their text.

use crate::token_text::{self, TokenText};
use serde::{Deserialize, Serialize};

/// Tokens `first..end` are said to be made by one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleSegment {
    /// Weight version.
    pub version: u64,
    /// First token.
    pub first: u64,
    /// Token after the last one.
    pub end: u64,
}

/// A sample as an entry delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Group within the step.
    pub group: u32,
    /// Sample within its group.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Which version made which tokens.
    pub segments: Vec<SampleSegment>,
}

/// What the text of a sample shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The text is the whole answer to its own prompt.
    pub whole: bool,
    /// The segments name the versions that made the tokens.
    pub attributed: bool,
    /// The oldest version in the text.
    pub oldest: Option<u64>,
}

/// Returns the version of each token of a whole answer of `tokens` tokens, or nothing when the
/// text is not that.
pub fn versions(prompt: &str, tokens: u64, text: &str) -> Option<Vec<u64>> {
    let expected = TokenText::new(prompt);
    let mut versions = Vec::with_capacity(tokens as usize);
    for (index, token) in text.split_terminator(' ').enumerate() {
        let parsed = token_text::parse(token)?;
        if parsed.hash != expected.hash(index as u64) {
            return None;
        }
        versions.push(parsed.version);
    }
    (versions.len() as u64 == tokens).then_some(versions)
}

/// Judges one sample of a prompt that asked for `tokens` tokens.
pub fn judge(prompt: &str, tokens: u64, sample: &Sample) -> Verdict {
    let versions = versions(prompt, tokens, &sample.text);
    let Some(versions) = versions.filter(|_| sample.tokens == tokens) else {
        return Verdict {
            whole: false,
            attributed: false,
            oldest: None,
        };
    };
    Verdict {
        whole: true,
        attributed: attributed(&versions, &sample.segments),
        oldest: versions.iter().copied().min(),
    }
}

fn attributed(versions: &[u64], segments: &[SampleSegment]) -> bool {
    let mut next = 0;
    for segment in segments {
        let tokens = segment.first as usize..segment.end as usize;
        let Some(made) = versions.get(tokens) else {
            return false;
        };
        if segment.first != next || made.iter().any(|version| *version != segment.version) {
            return false;
        }
        next = segment.end;
    }
    next == versions.len() as u64
}
