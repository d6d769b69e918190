//! The error of a call to the leading dispatcher.

use derive_more::{Display, Error};

/// Why a call to the leading dispatcher failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LeaderError {
    /// The address of the leader is unknown, so no call was made.
    #[display("no leader known")]
    Unknown,
    /// The dispatcher that was called does not lead; the call took no effect.
    #[display("the called dispatcher does not lead")]
    NotLeading,
    /// The leader can't answer reliably now, because it can't reach the store for example.
    #[display("the leader can't answer reliably now")]
    Unsure,
    /// The call was not sent, because no connection to the leader could be opened.
    #[display("not reached: {reason}")]
    NotReached {
        /// What failed.
        reason: String,
    },
    /// The response of the leader was lost; the call may have taken effect.
    #[display("{reason}")]
    NoAnswer {
        /// What failed, such as a timeout or a broken connection.
        reason: String,
    },
}

impl LeaderError {
    /// Whether the leader may not have been reached.
    pub fn is_unreached(&self) -> bool {
        matches!(self, Self::NotReached { .. } | Self::NoAnswer { .. })
    }
}
