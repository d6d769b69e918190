//! Identity of an item.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity of an item across jobs: a later job may use the same item id again.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{job}/{item}")]
pub struct ItemKey {
    /// Id of the job.
    pub job: String,
    /// Id of the item within the job.
    pub item: String,
}

impl ItemKey {
    /// Parses the form `JOB/ITEM`; `None` without a slash. The item id may contain slashes.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, item) = text.split_once('/')?;
        Some(Self {
            job: job.to_owned(),
            item: item.to_owned(),
        })
    }
}
