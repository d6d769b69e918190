//! Events of the token stream of an engine.

use serde::Deserialize;

/// One server-sent event of the token stream of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(untagged)]
pub enum EngineEvent {
    /// The answer is complete; the last event.
    Done {
        /// Always true.
        done: bool,
        /// Number of tokens in the answer.
        total: u64,
    },
    /// Some tokens of the answer.
    Tokens {
        /// Offset of the first of these tokens in the answer.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Text of the tokens.
        text: String,
        /// Weight version that generated them; `None` when the engine does not know it.
        version: Option<u64>,
    },
}
