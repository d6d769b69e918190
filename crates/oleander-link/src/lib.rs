//! Messages and links between the processes of oleanderlock.
//!
//! Each process binds one [`Mailbox`] and dials one push socket for each peer through [`Peers`].
//! Push and pull sockets never send a message twice by themselves, so a lost connection can lose
//! messages but can't repeat them.

pub mod convert;
mod convert_journal;
pub mod link_error;
pub mod link_keys;
pub mod mailbox;
pub mod peers;
pub mod wire;

pub use link_error::LinkError;
pub use link_keys::LinkKeys;
pub use mailbox::{Delivery, Mailbox};
pub use peers::{PeerChange, Peers};
