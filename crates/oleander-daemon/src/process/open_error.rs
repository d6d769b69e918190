//! Errors of starting a daemon.

use derive_more::{Display, Error, From};
use oleander_link::LinkError;

/// Why a daemon could not start.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The link address can't be bound.
    #[display("can't bind the link address: {_0}")]
    Link(LinkError),
    /// The HTTP address can't be bound, or a thread or signal handler can't be set up.
    #[display("can't open: {_0}")]
    Io(std::io::Error),
}
