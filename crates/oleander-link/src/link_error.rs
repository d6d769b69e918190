//! Faults of a link.

use derive_more::{Display, Error};

/// Why a frame was not sent or not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LinkError {
    /// No connection to the peer stands; the frame was not sent.
    #[display("no connection to {peer}")]
    NotConnected {
        /// Link address of the peer.
        peer: String,
    },
    /// The peer takes frames slower than they come; the frame was not sent.
    #[display("the send buffer for {peer} is full")]
    Backlog {
        /// Link address of the peer.
        peer: String,
    },
    /// The socket refused the operation.
    #[display("link socket: {reason}")]
    Socket {
        /// Words of the library.
        reason: String,
    },
    /// The frame carries no valid code of a known key.
    #[display("a frame with a wrong key or code")]
    WrongKey,
    /// The frame can't be decoded.
    #[display("a frame that can't be decoded")]
    Malformed,
}

impl From<nng::Error> for LinkError {
    fn from(fault: nng::Error) -> Self {
        Self::Socket {
            reason: fault.to_string(),
        }
    }
}
