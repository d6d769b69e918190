//! Why a request is refused for its key.

use derive_more::Display;
use oleander_platform::credentials::CredentialsError;

/// Why a request is refused for its key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request has no readable key.
    #[display("{_0}")]
    Malformed(CredentialsError),
    /// No workspace holds the key.
    #[display("unknown")]
    Unknown,
    /// Whether the key is valid is not certain now.
    #[display("unconfirmed")]
    Unconfirmed,
}

impl KeyRefusal {
    /// Returns the reason by which such refusals are counted.
    pub fn metric(self) -> &'static str {
        match self {
            Self::Malformed(_) => "no-key",
            Self::Unknown => "unknown-key",
            Self::Unconfirmed => "unconfirmed-key",
        }
    }
}
