//! Outcome of an item.

use super::json_text::JsonText;
use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// The text was generated to its end, and scored if the job asks for scores.
    Done {
        /// Data of all events, separated by line feeds.
        text: JsonText,
        /// Weight versions that generated the events, in order of first use.
        versions: Vec<u64>,
        /// Score of the text; `None` if the job asks for no scores.
        score: Option<String>,
    },
    /// The item was given up and has no text.
    GivenUp,
}
