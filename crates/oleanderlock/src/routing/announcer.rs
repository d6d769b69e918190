//! The incarnation of an endpoint that has announced that it is leaving.

/// What is known of the incarnation of an endpoint that has announced that it is leaving; times are Unix
/// times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcer {
    /// It has named its start itself.
    StartedAt(u64),
    /// It has answered a request that was sent at `asked`, and the list names the start `listed` for
    /// the endpoint. It may have restarted since the list was read, but not after it was asked.
    Listed {
        /// The start in the list, if it names one.
        listed: Option<u64>,
        /// When the request was sent.
        asked: u64,
    },
}

impl Announcer {
    /// Returns the latest time at which the incarnation can have started.
    pub fn latest_start(self) -> u64 {
        match self {
            Self::StartedAt(start) => start,
            // The clock of the endpoint may be ahead of this one.
            Self::Listed { listed, asked } => listed.unwrap_or_default().max(asked),
        }
    }

    /// Whether it is another incarnation than one that started at `latest` at the latest.
    pub fn is_later_than(self, latest: u64) -> bool {
        match self {
            Self::StartedAt(start) => start > latest,
            Self::Listed { listed, .. } => listed.is_some_and(|start| start > latest),
        }
    }
}
