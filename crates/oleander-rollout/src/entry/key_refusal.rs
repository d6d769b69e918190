//! Why a request is refused for its key.

use derive_more::Display;
use oleander_platform::credentials::CredentialsError;
use oleanderlock::workspaces::key_holder::KeyHolder;

/// Why a request is refused for its key.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request has no readable key.
    #[display("{_0}")]
    Malformed(CredentialsError),
    /// No workspace holds the key.
    #[display("unknown")]
    Unknown,
    /// Whether the key is valid is not certain now.
    #[display("unconfirmed")]
    Unconfirmed {
        /// The workspace and number of the key in the configuration in force; `None` if it is in
        /// none.
        holder: Option<KeyHolder>,
    },
}

impl KeyRefusal {
    /// Returns the reason by which such refusals are counted.
    pub fn metric(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "no-key",
            Self::Unknown => "unknown-key",
            Self::Unconfirmed { .. } => "unconfirmed-key",
        }
    }

    /// Returns the workspace and number of the refused key, if they are known.
    pub fn holder(&self) -> Option<&KeyHolder> {
        match self {
            Self::Unconfirmed { holder } => holder.as_ref(),
            Self::Malformed(_) | Self::Unknown => None,
        }
    }
}
