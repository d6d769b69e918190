//! Errors of sending and receiving frames.

use derive_more::{Display, Error};

/// Why a frame was not sent or not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LinkError {
    /// There is no connection to the peer; the frame was not sent.
    #[display("no connection to {peer}")]
    NotConnected {
        /// Link address of the peer.
        peer: String,
    },
    /// The peer reads more slowly than this process sends, and the send buffer is full; the frame
    /// was not sent.
    #[display("the send buffer for {peer} is full")]
    Backlog {
        /// Link address of the peer.
        peer: String,
    },
    /// A socket operation failed.
    #[display("link socket: {reason}")]
    Socket {
        /// Error text of the system.
        reason: String,
    },
    /// The frame was signed with an unknown key, or its authentication code is wrong.
    #[display("a frame with a wrong key or code")]
    WrongKey,
    /// The frame can't be decoded.
    #[display("a frame that can't be decoded")]
    Malformed,
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        Self::Socket {
            reason: error.to_string(),
        }
    }
}
