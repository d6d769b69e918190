//! How an item ended.

use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// The whole text was made and scored.
    Done {
        /// Data of all events, separated by line feeds.
        text: String,
        /// Weight versions that made the events, in order of first use.
        versions: Vec<u64>,
        /// Score of the text, where the job asked for one.
        score: Option<String>,
    },
    /// The item was given up.
    GivenUp,
}
