//! Whether a dispatcher leads.

/// Whether a dispatcher leads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeadershipState {
    /// Another dispatcher leads, or none does.
    #[default]
    Standby,
    /// The dispatcher has won an epoch and reads the state of the previous leader from the store.
    Recovering {
        /// The epoch.
        epoch: u64,
    },
    /// The dispatcher leads and serves entries and agents.
    Leading {
        /// The epoch.
        epoch: u64,
    },
}

impl LeadershipState {
    /// Returns the epoch that the dispatcher holds; `None` on a standby.
    pub fn epoch(self) -> Option<u64> {
        match self {
            Self::Standby => None,
            Self::Recovering { epoch } | Self::Leading { epoch } => Some(epoch),
        }
    }
}
